//! `daisyshift ctl`: sends statements to an entry VM and prints their results.

use std::{io::Read, process::ExitCode, time::Duration};

use anyhow::Context;
use bytes::Bytes;
use daisy_standin::client::Client;
use daisy_wire::operator::{AnswerJson, FindingJson, StatementResultJson};
use http::{Method, Request, header};
use http_body_util::Full;

use crate::{args, runtime};

/// How long to wait for the answer. The result is known within seconds; the entry VM itself gives
/// up after 8 s.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(15);
const TOKEN_VARIABLE: &str = "DAISYSHIFT_TOKEN";

/// Sends the statements and prints the answer; the exit code is 1 if a statement was not
/// accepted.
///
/// # Errors
///
/// If no token is given, the entry VM cannot be reached, or its answer is not JSON.
pub fn run(options: &args::Ctl) -> anyhow::Result<ExitCode> {
    let token = match &options.token {
        Some(token) => token.clone(),
        None => std::env::var(TOKEN_VARIABLE)
            .with_context(|| format!("no --token and no {TOKEN_VARIABLE}"))?,
    };
    let statements = read_statements(&options.statements)?;
    let body = runtime()?.block_on(send(options.entry, &token, &statements))?;
    if options.json {
        println!("{}", String::from_utf8_lossy(&body));
    }
    let answer = parse(&body)?;
    if !options.json {
        print_answer(&answer);
    }
    Ok(if answer.is_good() { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

/// Sends `statements` to the operators' port of an entry VM and returns the body of the answer.
///
/// # Errors
///
/// If no complete answer is received in time.
pub async fn send(
    entry: std::net::SocketAddr,
    token: &str,
    statements: &str,
) -> anyhow::Result<Bytes> {
    let req = Request::builder()
        .method(Method::POST)
        .uri(format!("http://{entry}/v1/statements"))
        .header(header::AUTHORIZATION, format!("Bearer {token}"))
        .body(Full::new(Bytes::copy_from_slice(statements.as_bytes())))?;
    let answer = Client::new().send(req, ANSWER_TIMEOUT).await?;
    Ok(answer.body)
}

/// Parses the body of an answer.
///
/// # Errors
///
/// If the body is not the JSON of an answer.
pub fn parse(body: &[u8]) -> anyhow::Result<AnswerJson> {
    let text =
        || format!("the answer is not that of an entry VM: {}", String::from_utf8_lossy(body));
    serde_json::from_slice(body).with_context(text)
}

fn read_statements(argument: &str) -> anyhow::Result<String> {
    if argument != "-" {
        return Ok(argument.to_owned());
    }
    let mut text = String::new();
    std::io::stdin().read_to_string(&mut text).context("reading standard input")?;
    Ok(text)
}

fn print_answer(answer: &AnswerJson) {
    for finding in &answer.findings {
        let FindingJson { line, column, found, expected, .. } = finding;
        println!("line {line}, column {column}: found {found}, expected {expected}");
    }
    for result in &answer.results {
        match result {
            StatementResultJson::Accepted { generation, notes } => {
                println!("accepted generation={generation}");
                notes.iter().for_each(|note| println!("note: {note}"));
            }
            StatementResultJson::Refused { cause } => println!("refused: {cause}"),
            StatementResultJson::Unknown { cause } => println!("unknown: {cause}"),
            StatementResultJson::Table { columns, rows } => print_table(columns, rows),
        }
    }
    if let Some(error) = &answer.error {
        println!("error: {error}");
    }
}

fn print_table(columns: &[String], rows: &[Vec<String>]) {
    let width = |column: usize| {
        let cells = rows.iter().filter_map(|row| row.get(column)).chain(columns.get(column));
        cells.map(|cell| cell.chars().count()).max().unwrap_or(0)
    };
    let widths: Vec<usize> = (0..columns.len()).map(width).collect();
    for row in std::iter::once(columns).chain(rows.iter().map(Vec::as_slice)) {
        let cells = row.iter().zip(&widths).map(|(cell, &width)| format!("{cell:width$}"));
        println!("{}", cells.collect::<Vec<_>>().join("  ").trim_end());
    }
}
