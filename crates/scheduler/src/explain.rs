//! Builds the timeline of one request or job from the logs of several processes.

use {
    serde::Serialize,
    snafu::{ResultExt, Snafu},
    std::{fs, path::PathBuf},
};

/// Events on the state of processes that are included as context around those of the id.
const CONTEXT_EVENTS: &[&str] = &[
    "started",
    "stopping",
    "store-lost",
    "store-regained",
    "owner-changed",
    "ownership-won",
    "ownership-ended",
    "schedule-read",
    "recording-failed",
    "owner-write-overtaken",
    "config-in-force",
    "log-lines-dropped",
];
/// Range before and after the id's own lines from which context is included, in milliseconds.
/// Longer than a takeover with all its leases.
const CONTEXT_MS: u64 = 10_000;

/// Why no timeline could be built.
#[derive(Debug, Snafu)]
pub(crate) enum ExplainFault {
    /// A log file can't be read.
    #[snafu(display("can't read {}: {source}", path.display()))]
    Read {
        /// The log file.
        path: PathBuf,
        /// The system's error.
        source: std::io::Error,
    },
    /// No log line contains the id.
    #[snafu(display("no line names '{id}'; {dropped} lines were dropped because of slow readers"))]
    NoMatch {
        /// The id.
        id: String,
        /// Lines that the processes dropped, by their own count.
        dropped: u64,
    },
}

/// One line of the timeline.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) struct TimelineLine {
    /// Unix time in milliseconds.
    at_ms: u64,
    /// Name of the log file.
    log: String,
    /// Whether the line contains the id; otherwise it is context.
    own: bool,
    /// The line from its event on.
    text: String,
}

/// Reads log files and returns the lines on an id, with their context, by time.
///
/// # Errors
///
/// [`ExplainFault`] if a file can't be read or no line contains the id.
pub(crate) fn explain(id: &str, logs: &[PathBuf]) -> Result<Vec<TimelineLine>, ExplainFault> {
    let mut lines = Vec::new();
    let mut dropped = 0;
    for path in logs {
        let text = fs::read_to_string(path).context(ReadSnafu { path })?;
        let log = path.file_name().unwrap_or_default().to_string_lossy();
        for line in text.lines() {
            dropped += dropped_count(line);
            lines.extend(parse_line(id, &log, line));
        }
    }
    let own_times = || lines.iter().filter(|line| line.own).map(|line| line.at_ms);
    let (Some(first), Some(last)) = (own_times().min(), own_times().max()) else {
        let id = id.to_owned();
        return Err(ExplainFault::NoMatch { id, dropped });
    };
    let context_range = first.saturating_sub(CONTEXT_MS)..=last + CONTEXT_MS;
    lines.retain(|line| line.own || context_range.contains(&line.at_ms));
    lines.sort();
    Ok(lines)
}

/// Formats a line for a terminal, with its time relative to `first_own_ms`.
pub(crate) fn format_line(line: &TimelineLine, first_own_ms: u64) -> String {
    let offset_ms = i128::from(line.at_ms) - i128::from(first_own_ms);
    let mark = if line.own { '*' } else { ' ' };
    format!("{mark} {offset_ms:>8} ms  {}  {}", line.log, line.text)
}

/// Time of the first line that contains the id, in Unix milliseconds.
pub(crate) fn first_own_ms(lines: &[TimelineLine]) -> u64 {
    let own = lines.iter().filter(|line| line.own);
    own.map(|line| line.at_ms).min().unwrap_or_default()
}

fn parse_line(id: &str, log: &str, line: &str) -> Option<TimelineLine> {
    let at_ms = value_of(line, "at_ms")?.parse().ok()?;
    let own = line.contains(id);
    let event = value_of(line, "event")?;
    if !own && !CONTEXT_EVENTS.contains(&event) {
        return None;
    }
    let text = line.split_once(" event=").map_or(line, |(_, rest)| rest);
    Some(TimelineLine {
        at_ms,
        log: log.to_owned(),
        own,
        text: text.to_owned(),
    })
}

/// The value of a `key=value` pair in a log line.
fn value_of<'a>(line: &'a str, key: &str) -> Option<&'a str> {
    let mut pairs = line.split(' ').filter_map(|pair| pair.split_once('='));
    pairs.find(|(name, _)| *name == key).map(|(_, value)| value)
}

fn dropped_count(line: &str) -> u64 {
    if value_of(line, "event") != Some("log-lines-dropped") {
        return 0;
    }
    let count = value_of(line, "count").and_then(|count| count.parse().ok());
    count.unwrap_or_default()
}
