//! Checks that the settings table of `docs/OPERATING.md` agrees with the program.

use daisy_settings::{Settings, read};

const PAGE: &str = include_str!("../../docs/OPERATING.md");
const REQUIRED: &str = "\
name: entry-1
vm: 7
data_centre: porto
data_centres: [{name: porto, region: north}]
callers: 127.0.0.1:8080
peers: 127.0.0.1:8081
operators: 127.0.0.1:8082
platform: 127.0.0.1:9000
";

struct Row {
    name: &'static str,
    default: &'static str,
}

fn rows() -> Vec<Row> {
    PAGE.lines()
        .skip_while(|line| !line.starts_with("| setting |"))
        .skip(2)
        .take_while(|line| line.starts_with('|'))
        .map(|line| {
            let mut cells = line.split('|').map(|cell| cell.trim().trim_matches('`'));
            cells.next();
            Row { name: cells.next().expect("a name"), default: cells.next().expect("a default") }
        })
        .collect()
}

fn defaults() -> Settings {
    read(REQUIRED).expect("the required settings are sufficient")
}

fn yaml(name: &str, value: &str) -> String {
    match name.split_once('.') {
        Some((section, field)) => format!("{REQUIRED}{section}: {{{field}: {value}}}\n"),
        None => format!("{REQUIRED}{name}: {value}\n"),
    }
}

#[test]
fn defaults_agree_with_the_page() {
    for row in rows().iter().filter(|row| row.default != "required") {
        let given = read(&yaml(row.name, row.default));

        assert_eq!(given, Ok(defaults()), "{}", row.name);
    }
}

#[test]
fn settings_that_the_page_calls_required_are_required() {
    for row in rows().iter().filter(|row| row.default == "required") {
        let without: String = REQUIRED
            .split_inclusive('\n')
            .filter(|line| !line.starts_with(&format!("{}:", row.name)))
            .collect();

        assert!(read(&without).is_err(), "{}", row.name);
    }
}

#[test]
fn the_page_names_every_setting() {
    let text = format!("{REQUIRED}x: 1\nlimits: {{x: 1}}\ntiming: {{x: 1}}\n");
    let findings = read(&text).expect_err("x is unknown");
    let names: Vec<&str> = rows().iter().map(|row| row.name).collect();

    for (finding, prefix) in findings.iter().zip(["", "limits.", "timing."]) {
        let (_, known) = finding.message.split_once("known here: ").expect("the known names");
        for name in known.split(", ").filter(|it| *it != "limits" && *it != "timing") {
            assert!(names.contains(&format!("{prefix}{name}").as_str()), "{prefix}{name}");
        }
    }
}
