//! Compares the documentation with the code: what the pages name must exist, and the reverse.

use std::{fs, path::Path};

fn read_repository_file(path: &str) -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join(path);
    fs::read_to_string(&path).unwrap_or_else(|e| panic!("{}: {e}", path.display()))
}

/// Returns the texts between backticks.
fn code_spans(page: &str) -> Vec<&str> {
    page.split('`').skip(1).step_by(2).collect()
}

#[test]
fn every_proof_that_the_page_names_is_a_test() {
    let page = read_repository_file("docs/PROOFS.md");
    let named = code_spans(&page).into_iter().filter_map(|text| text.split_once("::"));
    let mut named_tests = 0;

    for (module, test) in named {
        let source = read_repository_file(&format!("tests/proofs/{module}.rs"));
        assert!(source.contains(&format!("fn {test}()")), "{module}::{test}");
        named_tests += 1;
    }

    assert!(named_tests > 0, "the page names no test");
}

#[test]
fn every_proof_is_on_the_page() {
    let page = read_repository_file("docs/PROOFS.md");
    let dir = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/proofs");

    for entry in fs::read_dir(dir).expect("the folder of the proofs") {
        let source = fs::read_to_string(entry.expect("an entry").path()).expect("a source");
        for (at, _) in source.match_indices("#[tokio::test") {
            let (_, rest) = source[at..].split_once("async fn ").expect("a test's function");
            let (name, _) = rest.split_once('(').expect("a test's name");
            assert!(page.contains(name), "{name}");
        }
    }
}

#[test]
fn every_measurement_that_the_pages_run_exists() {
    let main = read_repository_file("daisy-measure/src/main.rs");
    for path in ["docs/CAPACITY.md", "docs/DESIGN.md"] {
        let page = read_repository_file(path);
        for text in code_spans(&page) {
            let Some((_, name)) = text.split_once("daisy-measure -- ") else { continue };
            let name = name.split(' ').next().unwrap_or_default();
            assert!(main.contains(&format!("mod {name};")), "{path}: {name}");
        }
    }
}

/// Returns the names after `event=` in all sources under a folder.
fn event_names_in(dir: &Path) -> Vec<String> {
    let mut names = Vec::new();
    for entry in fs::read_dir(dir).expect("a folder of sources") {
        let path = entry.expect("an entry").path();
        if path.is_dir() {
            names.extend(event_names_in(&path));
            continue;
        }
        let source = fs::read_to_string(&path).expect("a source");
        let after = source.split("event=").skip(1);
        let name =
            |it: &str| it.chars().take_while(|it| it.is_ascii_lowercase() || *it == '_').collect();
        // Lines that format the name of the event from a value have no name here.
        names.extend(after.map(name).filter(|it: &String| !it.is_empty()));
    }
    names
}

#[test]
fn every_event_that_a_node_logs_is_on_the_page() {
    let page = read_repository_file("docs/OPERATIONS.md");
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let mut events = event_names_in(&root.join("daisy-node/src"));
    events.push("lines_left_out".to_owned());

    for event in events {
        assert!(page.contains(&format!("`{event}`")), "{event}");
    }
}
