//! Runs every example of the language's reference page.

mod common;

use daisy_language::{Statement, parse};
use daisy_ledger::RecordOutcome;
use daisy_query::run;

use crate::common::Fixture;

/// Returns the code blocks of the page with their info strings, in order.
fn blocks(page: &str) -> Vec<(&str, String)> {
    let mut blocks: Vec<(&str, String)> = Vec::new();
    let mut is_inside = false;
    for line in page.lines() {
        match (is_inside, line.strip_prefix("```")) {
            (false, Some(kind)) => {
                blocks.push((kind, String::new()));
                is_inside = true;
            }
            (true, Some(_)) => is_inside = false,
            (true, None) => {
                let (_, text) = blocks.last_mut().expect("a block");
                text.push_str(line);
                text.push('\n');
            }
            (false, None) => {}
        }
    }
    blocks
}

fn page() -> String {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/../docs/LANGUAGE.md");
    std::fs::read_to_string(path).expect("the page")
}

#[test]
fn every_example_of_the_page_is_accepted_or_answered() {
    let page = page();
    let mut fixture = Fixture::empty();
    let mut statements = 0;
    for (kind, source) in blocks(&page) {
        if kind != "daisyshift" {
            continue;
        }
        let parsed = parse(&source).unwrap_or_else(|e| panic!("{}", e.render(&source)));
        for statement in parsed {
            statements += 1;
            match &statement {
                Statement::Change { command, condition } => {
                    let outcome = fixture.change("ana", command.clone(), *condition);
                    assert!(
                        matches!(outcome, RecordOutcome::Accepted(_)),
                        "{statement}: {outcome:?}"
                    );
                }
                _ => {
                    let table = run(&fixture.state, &fixture.live, &statement);
                    let table = table.unwrap_or_else(|e| panic!("{statement}: {e}"));
                    assert!(!table.columns.is_empty(), "{statement}");
                }
            }
        }
    }
    assert!(statements >= 40, "{statements} statements were found");
}

#[test]
fn findings_are_rendered_as_the_page_shows() {
    let page = page();
    let blocks = blocks(&page);
    let at = blocks.iter().position(|(kind, _)| *kind == "daisyshift-error").expect("an example");
    let source = &blocks[at].1;
    let findings = parse(source).expect_err("findings");
    assert_eq!(findings.render(source), blocks[at + 1].1);
}

#[test]
fn the_page_names_every_table_and_column() {
    let page = page();
    for target in daisy_language::TableKind::ALL {
        assert!(page.contains(&format!("`{}`", target.keyword())), "{target:?}");
        let columns = target.columns().join(", ");
        assert!(page.contains(&columns), "{target:?}: {columns}");
    }
}
