//! `trace`: shows the log lines of entry VMs about one request.

use std::collections::HashSet;
use std::fmt;
use std::fs::File;
use std::io::{self, BufRead, BufReader};
use std::path::Path;

use eyre::WrapErr;
use serde::Serialize;
use serde_json::{Map, Value};

use crate::cli::TraceArgs;
use crate::exit::Exit;
use crate::output::Output;

/// Fields that every line has; not repeated among the other fields.
const COMMON_FIELDS: [&str; 4] = ["time_unix_ms", "event", "level", "name"];

/// Log lines about a request.
#[derive(Debug, Serialize)]
struct Trace {
    request: String,
    /// Lines about the request and the backend servers that it was sent to, in order of time.
    lines: Vec<Line>,
    /// Positions (file and line number) of lines that cannot be parsed.
    damaged: Vec<String>,
}

/// A log line.
#[derive(Debug, Clone, Serialize)]
struct Line {
    /// Name of the log.
    source: String,
    #[serde(flatten)]
    fields: Map<String, Value>,
}

impl Line {
    fn text(&self, field: &str) -> &str {
        self.fields
            .get(field)
            .and_then(Value::as_str)
            .unwrap_or_default()
    }

    fn time_ms(&self) -> u64 {
        let time = self.fields.get("time_unix_ms").and_then(Value::as_u64);
        time.unwrap_or_default()
    }

    /// Returns the names and addresses of the backend server in the line.
    fn servers(&self) -> impl Iterator<Item = &str> {
        let names = [self.text("server"), self.text("backend")];
        names.into_iter().filter(|name| !name.is_empty())
    }
}

impl fmt::Display for Trace {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let begin = self.lines.first().map_or(0, Line::time_ms);
        for line in &self.lines {
            let since = line.time_ms().saturating_sub(begin);
            write!(
                f,
                "{since:>8} ms  {:<16} {:<16}",
                line.source,
                line.text("name")
            )?;
            for (field, value) in &line.fields {
                if !COMMON_FIELDS.contains(&field.as_str()) {
                    write!(f, " {field}={}", format_value(value))?;
                }
            }
            writeln!(f)?;
        }
        for position in &self.damaged {
            writeln!(f, "{position}: not a valid log line")?;
        }
        Ok(())
    }
}

fn format_value(value: &Value) -> String {
    value
        .as_str()
        .map_or_else(|| value.to_string(), str::to_owned)
}

/// Prints the log lines about a request.
///
/// # Errors
///
/// Fails if a log cannot be read.
pub fn run(args: &TraceArgs, output: Output) -> eyre::Result<Exit> {
    let mut damaged = Vec::new();
    let mut lines = Vec::new();
    for file in &args.logs {
        lines.extend(read(file, &mut damaged)?);
    }
    let lines = related(&args.request, lines);
    let found = lines
        .iter()
        .any(|line| line.text("request") == args.request);
    let request = args.request.clone();
    output.report(&Trace {
        request,
        lines,
        damaged,
    })?;
    if found {
        return Ok(Exit::Done);
    }
    eyre::bail!(
        "no log line is about request {}; successful requests are sampled",
        args.request
    )
}

fn read(file: &Path, damaged: &mut Vec<String>) -> eyre::Result<Vec<Line>> {
    if file == Path::new("-") {
        return parse("-", io::stdin().lock(), damaged);
    }
    let shown = file.display().to_string();
    let opened = File::open(file).wrap_err_with(|| format!("cannot read {shown}"))?;
    let source = file
        .file_stem()
        .map_or_else(|| shown.clone(), |stem| stem.display().to_string());
    parse(&source, BufReader::new(opened), damaged).wrap_err_with(|| format!("cannot read {shown}"))
}

fn parse(source: &str, log: impl BufRead, damaged: &mut Vec<String>) -> eyre::Result<Vec<Line>> {
    let mut lines = Vec::new();
    for (number, line) in log.split(b'\n').enumerate() {
        let line = line?;
        let text = String::from_utf8_lossy(&line);
        // The log collector may have put a time or a name before the JSON of each line.
        let Some(start) = text.find('{') else {
            continue;
        };
        match serde_json::from_str(text[start..].trim_end()) {
            Ok(fields) => lines.push(Line {
                source: source.to_owned(),
                fields,
            }),
            Err(_) => damaged.push(format!("{source}:{}", number + 1)),
        }
    }
    Ok(lines)
}

/// Returns the lines about `request` and the backend servers that it was sent to, in order of
/// time.
fn related(request: &str, lines: Vec<Line>) -> Vec<Line> {
    let own = lines.iter().filter(|line| line.text("request") == request);
    let servers: HashSet<String> = own.flat_map(Line::servers).map(str::to_owned).collect();
    let is_related = |line: &Line| {
        let of_request = line.text("request");
        let of_server = line.servers().any(|server| servers.contains(server));
        of_request == request || (of_request.is_empty() && of_server)
    };
    let mut lines: Vec<Line> = lines.into_iter().filter(is_related).collect();
    lines.sort_by_key(Line::time_ms);
    lines
}
