//! Sources that parse, and their statements.

use std::time::Duration;

use daisy_language::{
    Comparison, Count, Filter, OrderBy, Show, Statement, TableKind, TaskRef, Why, parse,
    parse_located,
};
use daisy_model::{
    Command, Condition, Generation, JobKind, JobSpec, Name, PolicyChange, Priority, Resources,
    Tolerance, WorkClass,
};

fn name(text: &str) -> Name {
    Name::new(text).expect("a name")
}

fn parse_one(source: &str) -> Statement {
    match parse(source) {
        Ok(mut statements) if statements.len() == 1 => statements.remove(0),
        other => panic!("{source}: {other:?}"),
    }
}

fn command(source: &str) -> Command {
    match parse_one(source) {
        Statement::Change { command, condition: None } => command,
        other => panic!("{source}: {other:?}"),
    }
}

#[test]
fn a_job_with_every_clause_is_parsed() {
    let source = "create job price-list team pricing tasks 40 cpu 1.5 memory 4Gi accelerators 1 \
        priority urgent may delay, evict, refuse restartable run time 90s in porto, braga \
        region bytes 3Mi";

    let found = command(source);

    let expected = JobSpec {
        name: name("price-list"),
        team: name("pricing"),
        kind: JobKind::Batch,
        tasks: 40,
        size: Resources { cpu_milli: 1_500, memory_mib: 4_096, accelerators: 1 },
        priority: Priority::Urgent,
        tolerance: Tolerance { delay: true, evict: true, refuse: true },
        restartable: true,
        run_time: Some(Duration::from_secs(90)),
        data_centres: vec![name("porto"), name("braga")],
        region_bytes: 3 << 20,
    };
    assert_eq!(found, Command::Create(expected));
}

#[test]
fn a_service_gets_the_default_values() {
    let found = command("create service quotation team pricing cpu 500m memory 512Mi");

    let Command::Create(spec) = found else { panic!("{found:?}") };
    assert_eq!(spec.kind, JobKind::Service);
    assert_eq!((spec.tasks, spec.priority), (1, Priority::Critical));
    assert!(spec.restartable);
    assert_eq!(spec.tolerance, Tolerance { delay: false, evict: false, refuse: false });
}

#[test]
fn every_other_kind_of_change_is_parsed() {
    let size = Resources { cpu_milli: 2_000, memory_mib: 1_024, accelerators: 0 };
    let cases = [
        (
            "change service shop tasks 6 priority urgent cpu 2 memory 1Gi",
            Command::Change {
                kind: JobKind::Service,
                job: name("shop"),
                tasks: Some(6),
                priority: Some(Priority::Urgent),
                size: Some(size),
            },
        ),
        ("cancel job render", Command::Cancel { kind: JobKind::Batch, job: name("render") }),
        ("quota team shop cpu 2 memory 1Gi", Command::Quota { team: name("shop"), limit: size }),
        ("drain vm vm-12", Command::Drain { vm: name("vm-12") }),
        ("undrain vm vm-12", Command::Undrain { vm: name("vm-12") }),
        ("pause batch", Command::Pause(WorkClass::Batch)),
        ("resume priority low", Command::Resume(WorkClass::Priority(Priority::Low))),
        (
            "publish policy tail=900 retry-window=2m",
            Command::Publish(PolicyChange {
                tail: Some(900),
                retry_window: Some(Duration::from_secs(120)),
                ..PolicyChange::default()
            }),
        ),
    ];
    for (source, expected) in cases {
        assert_eq!(command(source), expected, "{source}");
    }
}

#[test]
fn a_condition_is_parsed_in_a_change_and_after_explain() {
    let condition = Some(Condition { generation: Generation(1_042) });
    let drain = Command::Drain { vm: name("vm-1") };

    let change = parse_one("drain vm vm-1 if generation 1042");
    let explain = parse_one("explain drain vm vm-1 if generation 1042");

    assert_eq!(change, Statement::Change { command: drain.clone(), condition });
    assert_eq!(explain, Statement::Explain { command: drain, condition });
}

#[test]
fn a_query_with_every_clause_is_parsed() {
    let found = parse_one(
        "show tasks where state = running and vm like 'vm-1%' \
        order by since desc limit 5 count by vm",
    );

    let filter =
        |column, comparison, value: &str| Filter { column, comparison, value: value.into() };
    let expected = Show {
        target: TableKind::Tasks,
        filters: vec![
            filter("state", Comparison::Equal, "running"),
            filter("vm", Comparison::Like, "vm-1%"),
        ],
        order: Some(OrderBy { column: "since", descending: true }),
        limit: Some(5),
        count: Some(Count::By("vm")),
    };
    assert_eq!(found, Statement::Show(expected));
}

#[test]
fn every_kind_of_why_is_parsed() {
    let cases = [
        ("why task price-list/3", Why::Task(TaskRef::Named(name("price-list"), 3))),
        ("why task 17/3", Why::Task(TaskRef::Numbered(17, 3))),
        ("why job render", Why::Job(name("render"))),
        ("why vm vm-1", Why::Vm(name("vm-1"))),
        ("why request-class shop/checkout", Why::RequestClass("shop/checkout".into())),
    ];
    for (source, expected) in cases {
        assert_eq!(parse_one(source), Statement::Why(expected), "{source}");
    }
}

#[test]
fn statements_end_at_semicolons_and_line_ends() {
    let source =
        "# morning\npause batch; drain vm a\nquota team t \\\n  cpu 1 memory 1Gi # small\n";

    let found = parse_located(source).expect("parses");

    let texts: Vec<&str> = found.iter().map(|it| &source[it.span.clone()]).collect();
    assert_eq!(texts, ["pause batch", "drain vm a", "quota team t \\\n  cpu 1 memory 1Gi"]);
}
