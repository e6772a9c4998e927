//! `show`: rows, filters, order and counts.

mod common;

use daisy_model::{VmId, WallTime};
use daisy_query::{Error, Reason, Subject, Table, run};

use crate::common::{Fixture, parse_one, render_task};

fn column(table: &Table, name: &str) -> Vec<String> {
    let at = table.columns.iter().position(|it| *it == name).expect("a column");
    table.rows.iter().map(|row| row[at].clone()).collect()
}

#[test]
fn tasks_are_shown_with_where_they_run() {
    let fixture = Fixture::with_running_task();

    let table = fixture.query("show tasks where job = renders");
    let numbered = fixture.query("show tasks where number = 1");
    let named = fixture.query("show tasks where task like 'renders/%'");

    assert_eq!(table, named);
    assert_eq!(table, numbered);
    assert_eq!(column(&table, "task"), ["renders/0", "renders/1", "renders/2"]);
    assert_eq!(column(&table, "state"), ["running", "pending", "pending"]);
    assert_eq!(column(&table, "vm"), ["worker-12", "-", "-"]);
    assert_eq!(column(&table, "dc"), ["braga", "-", "-"]);
    assert_eq!(column(&table, "since"), ["35s", "-", "-"]);
    assert_eq!(column(&table, "share"), ["400", "-", "-"]);
}

#[test]
fn filters_compare_numbers_by_value_and_other_cells_as_text() {
    let fixture = Fixture::with_running_task();
    let count =
        |query: &str| fixture.query(&format!("show tasks where {query} count")).rows[0][0].clone();
    let cases = [
        ("cpu > 1", "2"),
        ("cpu <= 0.5", "3"),
        ("memory >= 1.5Gi", "2"),
        ("memory = 1Gi", "3"),
        ("since > 30s", "1"),
        ("since < 30s", "0"),
        ("since != 35s", "4"),
        ("vm = '-'", "4"),
        ("vm < z", "1"),
        ("task like 'renders/%' and state != running", "2"),
        ("task like '%/0'", "2"),
        ("task like 'r%d%s/1'", "1"),
        ("task like 'ender%'", "0"),
        ("priority = critical", "2"),
    ];
    for (query, expected) in cases {
        assert_eq!(count(query), expected, "{query}");
    }
}

#[test]
fn rows_are_ordered_limited_and_counted() {
    let fixture = Fixture::with_running_task();
    let by_cpu = fixture.query("show jobs order by cpu desc limit 1");
    let counted = fixture.query("show tasks count by state");
    let sorted = fixture.query("show tasks order by task limit 2");
    assert_eq!(column(&by_cpu, "job"), ["stock"]);
    assert_eq!(counted.rows, [["pending", "4"], ["running", "1"]]);
    assert_eq!(column(&sorted, "task"), ["renders/0", "renders/1"]);
}

#[test]
fn jobs_services_and_teams_are_shown() {
    let mut fixture = Fixture::with_running_task();
    fixture.execute("ana", "cancel job renders");
    let jobs = fixture.query("show jobs");
    assert_eq!(column(&jobs, "state"), ["open", "stopping"]);
    assert_eq!(column(&jobs, "out"), ["0", "1"]);
    assert_eq!(column(&fixture.query("show services"), "job"), ["stock"]);
    let teams = fixture.query("show teams");
    assert_eq!(column(&teams, "cpu-used"), ["500m"]);
    assert_eq!(column(&teams, "memory-used"), ["1024Mi"]);
}

#[test]
fn workers_vms_and_holders_are_shown_with_their_state() {
    let mut fixture = Fixture::with_running_task();
    fixture.execute("ana", "drain vm worker-13");
    fixture.live.workers.remove(&VmId(11));
    let workers = fixture.query("show workers");
    assert_eq!(column(&workers, "state"), ["not-seen", "ready", "drained"]);
    assert_eq!(column(&workers, "cpu-free"), ["-", "16000m", "16000m"]);
    let vms = fixture.query("show vms where role = entry");
    assert_eq!(column(&vms, "state"), ["holds braga", "-"]);
    let holders = fixture.query("show holders");
    assert_eq!(holders.rows, [["braga", "entry-1", "4", "held"]]);
}

#[test]
fn changes_are_shown_with_operator_time_subject_and_cause() {
    let mut fixture = Fixture::with_running_task();
    fixture.execute("rui", "cancel job absent");
    let refused = fixture.query("show changes where result = refused");
    assert_eq!(column(&refused, "who"), ["rui"]);
    assert_eq!(column(&refused, "cause"), ["job absent is unknown"]);
    assert_eq!(column(&refused, "statement"), ["cancel job absent"]);
    assert_eq!(column(&refused, "time"), ["2026-12-03T00:06:00Z"]);
    let later =
        fixture.query("show changes where time >= '2026-12-03T00:02' and subject like 'job %'");
    assert_eq!(column(&later, "subject"), ["job renders", "job absent"]);
}

#[test]
fn config_shows_policy_pauses_and_drains() {
    let mut fixture = Fixture::with_running_task();
    fixture.execute("ana", "publish policy tail=900");
    fixture.execute("ana", "pause priority low");
    fixture.execute("ana", "drain vm worker-13");
    let config = fixture.query("show config where key = tail");
    assert_eq!(config.rows, [["tail", "900", "7"]]);
    assert_eq!(column(&fixture.query("show config where key = paused"), "value"), ["priority low"]);
    assert_eq!(column(&fixture.query("show config where key = drained"), "value"), ["worker-13"]);
}

#[test]
fn running_a_change_is_an_error() {
    let fixture = Fixture::with_running_task();
    let answer = run(&fixture.state, &fixture.live, &parse_one("pause batch"));
    assert_eq!(answer, Err(Error::Change));
}

#[test]
fn a_table_is_formatted_with_aligned_columns() {
    let fixture = Fixture::with_running_task();
    let text = fixture.query("show holders").to_string();
    assert_eq!(text, "dc     holder   epoch  state\nbraga  entry-1  4      held\n");
}

/// A column that no code fills would be `-` in every row, which is easily overlooked.
#[test]
fn every_column_of_every_table_is_filled() {
    let mut fixture = Fixture::with_running_task();
    fixture.execute("rui", "cancel job absent");
    for subject in [Subject::Task(render_task(0)), Subject::Vm(VmId(12))] {
        let (at, text) = (WallTime(0), "because".into());
        fixture.live.reasons.push(Reason { at, subject, text });
    }
    for target in daisy_language::TableKind::ALL {
        let table = fixture.query(&format!("show {}", target.keyword()));
        assert_eq!(table.columns, target.columns());
        for name in target.columns() {
            let cells = column(&table, name);
            assert!(cells.iter().any(|it| it != "-"), "{name} of\n{table}");
        }
    }
}
