//! Every statement is formatted as text that parses back to the same statement.

use std::time::Duration;

use daisy_language::{
    Comparison, Count, Filter, OrderBy, Show, Statement, TableKind, TaskRef, Why, parse,
};
use daisy_model::{
    Command, Condition, Generation, JobKind, JobSpec, Name, PolicyChange, Priority, Resources,
    Tolerance, WorkClass,
};
use quickcheck::{Arbitrary, Gen, QuickCheck};

#[derive(Debug, Clone)]
struct AnyStatement(Statement);

impl Arbitrary for AnyStatement {
    fn arbitrary(g: &mut Gen) -> AnyStatement {
        let condition =
            bool::arbitrary(g).then(|| Condition { generation: Generation(u64::arbitrary(g)) });
        AnyStatement(match u8::arbitrary(g) % 8 {
            0 => Statement::Show(show(g)),
            1 => Statement::Why(why(g)),
            2 => Statement::Explain { command: command(g), condition },
            _ => Statement::Change { command: command(g), condition },
        })
    }
}

fn pick<T: Clone>(g: &mut Gen, items: &[T]) -> T {
    g.choose(items).expect("items").clone()
}

fn name(g: &mut Gen) -> Name {
    let len = usize::arbitrary(g) % 62;
    let first = pick(g, b"abcxyz") as char;
    let rest = (0..len).map(|_| pick(g, b"abc-0189") as char);
    let text: String = std::iter::once(first).chain(rest).collect();
    Name::new(&text).expect("a name")
}

fn size(g: &mut Gen) -> Resources {
    Resources {
        cpu_milli: u32::arbitrary(g),
        memory_mib: u32::arbitrary(g),
        accelerators: u32::arbitrary(g),
    }
}

fn duration(g: &mut Gen) -> Duration {
    Duration::from_millis(u64::arbitrary(g))
}

fn kind(g: &mut Gen) -> JobKind {
    pick(g, &[JobKind::Service, JobKind::Batch])
}

fn priority(g: &mut Gen) -> Priority {
    pick(g, &Priority::ALL)
}

fn class(g: &mut Gen) -> WorkClass {
    if bool::arbitrary(g) { WorkClass::Batch } else { WorkClass::Priority(priority(g)) }
}

fn spec(g: &mut Gen) -> JobSpec {
    let kind = kind(g);
    let mut data_centres: Vec<Name> = (0..u8::arbitrary(g) % 4).map(|_| name(g)).collect();
    data_centres.sort();
    data_centres.dedup();
    JobSpec {
        name: name(g),
        team: name(g),
        kind,
        tasks: u32::arbitrary(g),
        size: size(g),
        priority: priority(g),
        tolerance: Tolerance {
            delay: bool::arbitrary(g),
            evict: bool::arbitrary(g),
            refuse: bool::arbitrary(g),
        },
        restartable: kind == JobKind::Service || bool::arbitrary(g),
        run_time: bool::arbitrary(g).then(|| duration(g)),
        data_centres,
        region_bytes: u64::arbitrary(g),
    }
}

fn policy(g: &mut Gen) -> PolicyChange {
    let weight = |g: &mut Gen| bool::arbitrary(g).then(|| u32::arbitrary(g) % 1_001);
    PolicyChange {
        tail: Some(u32::arbitrary(g) % 1_001),
        throughput: weight(g),
        evictions: weight(g),
        retry_budget: weight(g),
        retry_window: bool::arbitrary(g).then(|| duration(g)),
        region_bytes: bool::arbitrary(g).then(|| u64::arbitrary(g)),
        throttle_above: weight(g),
    }
}

fn command(g: &mut Gen) -> Command {
    match u8::arbitrary(g) % 9 {
        0 => Command::Create(spec(g)),
        1 => Command::Change {
            kind: kind(g),
            job: name(g),
            tasks: Some(u32::arbitrary(g)),
            priority: bool::arbitrary(g).then(|| priority(g)),
            size: bool::arbitrary(g).then(|| size(g)),
        },
        2 => Command::Cancel { kind: kind(g), job: name(g) },
        3 => Command::Quota { team: name(g), limit: size(g) },
        4 => Command::Drain { vm: name(g) },
        5 => Command::Undrain { vm: name(g) },
        6 => Command::Pause(class(g)),
        7 => Command::Resume(class(g)),
        _ => Command::Publish(policy(g)),
    }
}

fn text(g: &mut Gen) -> Box<str> {
    String::arbitrary(g).replace('\n', " ").into()
}

fn filter(g: &mut Gen, target: TableKind) -> Filter {
    let comparisons = [
        Comparison::Equal,
        Comparison::NotEqual,
        Comparison::Below,
        Comparison::AtMost,
        Comparison::Above,
        Comparison::AtLeast,
        Comparison::Like,
    ];
    Filter { column: pick(g, target.columns()), comparison: pick(g, &comparisons), value: text(g) }
}

fn show(g: &mut Gen) -> Show {
    let target = pick(g, &TableKind::ALL);
    let column = pick(g, target.columns());
    let order = OrderBy { column, descending: bool::arbitrary(g) };
    Show {
        target,
        filters: (0..u8::arbitrary(g) % 3).map(|_| filter(g, target)).collect(),
        order: bool::arbitrary(g).then_some(order),
        limit: Option::arbitrary(g),
        count: pick(g, &[None, Some(Count::All), Some(Count::By(column))]),
    }
}

fn why(g: &mut Gen) -> Why {
    match u8::arbitrary(g) % 5 {
        0 => Why::Task(TaskRef::Named(name(g), u32::arbitrary(g))),
        1 => Why::Task(TaskRef::Numbered(u32::arbitrary(g), u32::arbitrary(g))),
        2 => Why::Job(name(g)),
        3 => Why::Vm(name(g)),
        _ => Why::RequestClass(text(g)),
    }
}

#[test]
fn a_formatted_statement_parses_back_to_the_same() {
    fn parses_back(any: AnyStatement) -> bool {
        let text = any.0.to_string();
        let found = parse(&text);
        assert_eq!(found, Ok(vec![any.0]), "{text}");
        true
    }
    let mut check = QuickCheck::new().rng(Gen::from_size_and_seed(40, 3)).tests(3_000);
    check.quickcheck(parses_back as fn(AnyStatement) -> bool);
}
