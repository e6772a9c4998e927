//! Every example of the language's reference page is run.

mod common;

use daisy_language::{Statement, parse};
use daisy_ledger::Outcome;
use daisy_query::run;

use crate::common::Shop;

/// Blocks of the page with their kind, in order.
fn blocks(page: &str) -> Vec<(&str, String)> {
    let mut blocks: Vec<(&str, String)> = Vec::new();
    let mut inside = false;
    for line in page.lines() {
        match (inside, line.strip_prefix("```")) {
            (false, Some(kind)) => {
                blocks.push((kind, String::new()));
                inside = true;
            }
            (true, Some(_)) => inside = false,
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
fn every_example_does_what_the_page_says() {
    let page = page();
    let mut shop = Shop::empty();
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
                    let outcome = shop.change("ana", command.clone(), *condition);
                    assert!(matches!(outcome, Outcome::Accepted(_)), "{statement}: {outcome:?}");
                }
                _ => {
                    let table = run(&shop.state, &shop.live, &statement);
                    let table = table.unwrap_or_else(|e| panic!("{statement}: {e}"));
                    assert!(!table.columns.is_empty(), "{statement}");
                }
            }
        }
    }
    assert!(statements >= 40, "{statements} statements were found");
}

#[test]
fn findings_look_as_the_page_shows() {
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
    for target in daisy_language::Target::ALL {
        assert!(page.contains(&format!("`{}`", target.word())), "{target:?}");
        let columns = target.columns().join(", ");
        assert!(page.contains(&columns), "{target:?}: {columns}");
    }
}
