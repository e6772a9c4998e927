//! Findings of sources that do not parse.

use daisy_language::{MAX_LEN, parse};
use quickcheck::{Gen, QuickCheck};

fn findings(source: &str) -> Vec<(u32, u32, String, String)> {
    let Err(findings) = parse(source) else { panic!("{source} parses") };
    let parts = findings.0.iter();
    parts.map(|it| (it.line, it.column, it.found.to_string(), it.expected.to_string())).collect()
}

/// Returns what was found and expected in a source that has one finding.
fn only_finding(source: &str) -> (String, String) {
    let mut all = findings(source);
    assert_eq!(all.len(), 1, "{source}: {all:?}");
    let (_, _, found, expected) = all.remove(0);
    (found, expected)
}

/// An operator pastes several statements with several errors. All errors are reported at once,
/// each with its position, so that the operator can correct all of them together.
#[test]
fn all_findings_of_all_statements_are_reported_at_once() {
    let source = "create job a team T cpu -2 memory 4 priority soon\n\
        show tasks where colour = red; drain rack r1\npause batch\n";

    let found = findings(source);

    let positions: Vec<(u32, u32, &str)> =
        found.iter().map(|(line, column, found, _)| (*line, *column, found.as_str())).collect();
    let expected = [
        (1, 19, "'T'"),
        (1, 25, "'-2'"),
        (1, 35, "'4'"),
        (1, 46, "'soon'"),
        (2, 18, "'colour'"),
        (2, 38, "'rack'"),
    ];
    assert_eq!(positions, expected);
}

#[test]
fn findings_say_what_was_expected() {
    let end = "the end of the statement";
    let cases = [
        ("create job a cpu 1 memory 1Gi", end, "'team' and the name of a team"),
        ("create job a team t memory 1Gi", end, "'cpu' and processors such as 500m or 2"),
        ("create task a", "'task'", "'service' or 'job'"),
        ("create job a team t cpu 1 cpu 2 memory 1Gi", "'cpu'", "'cpu' only once"),
        ("create job a team t cpu 1 memory 1Gi may fly", "'fly'", "'delay', 'evict' or 'refuse'"),
        ("create job a team t cpu 1 memory 1Gi run time 9", "'9'", "a time such as 90s, 5m or 2h"),
        ("create job a team t cpu 1 memory 1Gi in x, x", "'x'", "each data centre only once"),
        ("change job a", end, "'tasks', 'priority', 'cpu', 'memory' or 'accelerators'"),
        ("drain vm v if generation x", "'x'", "a generation such as 1042"),
        ("drain vm v now", "'now'", "the end of the statement"),
        ("publish policy tail=2000", "'2000'", "thousandths from 0 to 1000"),
        ("publish policy tail 3", "'3'", "'='"),
        ("why task render", "'render'", "a task such as price-list/3 or 17/3"),
        ("show tasks limit many", "'many'", "a number of rows"),
        ("show jobs where job like 'x", "''x'", "a closing quote on the same line"),
    ];
    for (source, found, expected) in cases {
        assert_eq!(only_finding(source), (found.to_owned(), expected.to_owned()), "{source}");
    }
}

#[test]
fn sizes_out_of_range_are_rejected() {
    for size in ["cpu 4294968 memory 1Gi", "cpu 1.2345 memory 1Gi", "cpu 1 memory 5000Ti"] {
        let source = format!("quota team t {size}");
        let (_, expected) = only_finding(&source);
        assert!(expected.contains("not negative"), "{source}: {expected}");
    }
}

#[test]
fn carets_are_rendered_below_the_error() {
    let source = "pause batch\ndrain vm Größe";
    let Err(findings) = parse(source) else { panic!("parses") };

    let text = findings.0[0].render(source);

    let lines: Vec<&str> = text.lines().collect();
    assert_eq!(lines[2], "2 | drain vm Größe");
    assert_eq!(lines[3], "  |          ^^");
}

#[test]
fn a_source_that_is_too_long_is_rejected() {
    let (_, expected) = only_finding(&"#".repeat(MAX_LEN + 1));
    assert!(expected.starts_with("at most 65536 bytes"));
}

#[test]
fn arbitrary_text_never_panics() {
    fn parses_or_not(words: Vec<String>, picks: Vec<u8>) -> bool {
        let known = ["create", "job", "team", "'", "=", "-", "\\\n", ";", "1Gi", "in", ",", "é"];
        let picked = picks.iter().map(|&it| known[it as usize % known.len()]);
        let words = words.iter().map(String::as_str);
        let source: Vec<&str> = words.chain(picked).collect();
        let source = source.join(" ");
        if let Err(findings) = parse(&source) {
            assert!(!findings.render(&source).is_empty());
        }
        true
    }
    let mut check = QuickCheck::new().rng(Gen::from_size_and_seed(40, 5)).tests(500);
    check.quickcheck(parses_or_not as fn(Vec<String>, Vec<u8>) -> bool);
}
