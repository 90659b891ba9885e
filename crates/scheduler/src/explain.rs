//! The story of one request or job, told from the logs of several processes.

use {
    serde::Serialize,
    snafu::{ResultExt, Snafu},
    std::{fs, path::PathBuf},
};

/// Events that say what processes believed at the time, told beside those of the id.
const SURROUNDINGS: &[&str] = &[
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
/// How long before and after the id's own lines surroundings are told, in milliseconds.
/// Longer than a takeover with all its leases.
const AROUND_MS: u64 = 10_000;

/// Why no story could be told.
#[derive(Debug, Snafu)]
pub(crate) enum ExplainFault {
    /// A log can't be read.
    #[snafu(display("can't read {}: {source}", path.display()))]
    Read {
        /// The log.
        path: PathBuf,
        /// What the system said.
        source: std::io::Error,
    },
    /// No line names the id.
    #[snafu(display("no line names '{id}'; {dropped} lines were dropped by slow readers"))]
    Nothing {
        /// The id.
        id: String,
        /// Lines that the logs say were dropped.
        dropped: u64,
    },
}

/// One line of the story.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) struct StoryLine {
    /// When, in milliseconds since the Unix epoch.
    at_ms: u64,
    /// The log that it stands in.
    log: String,
    /// Whether it names the id itself.
    own: bool,
    /// The line.
    text: String,
}

/// Reads logs and puts the lines that tell of an id in order.
///
/// # Errors
///
/// [`ExplainFault`].
pub(crate) fn explain(id: &str, logs: &[PathBuf]) -> Result<Vec<StoryLine>, ExplainFault> {
    let mut lines = Vec::new();
    let mut dropped = 0;
    for path in logs {
        let text = fs::read_to_string(path).context(ReadSnafu { path })?;
        let log = path.file_name().unwrap_or_default().to_string_lossy();
        for line in text.lines() {
            dropped += dropped_lines(line);
            lines.extend(story_line(id, &log, line));
        }
    }
    let own = || lines.iter().filter(|line| line.own).map(|line| line.at_ms);
    let (Some(first), Some(last)) = (own().min(), own().max()) else {
        let id = id.to_owned();
        return Err(ExplainFault::Nothing { id, dropped });
    };
    let near = first.saturating_sub(AROUND_MS)..=last + AROUND_MS;
    lines.retain(|line| line.own || near.contains(&line.at_ms));
    lines.sort();
    Ok(lines)
}

/// The line as people read it.
pub(crate) fn told(line: &StoryLine, begin_ms: u64) -> String {
    let after = i128::from(line.at_ms) - i128::from(begin_ms);
    let mark = if line.own { '*' } else { ' ' };
    format!("{mark} {after:>8} ms  {}  {}", line.log, line.text)
}

/// When the id's own lines begin.
pub(crate) fn begin_ms(lines: &[StoryLine]) -> u64 {
    let own = lines.iter().filter(|line| line.own);
    own.map(|line| line.at_ms).min().unwrap_or_default()
}

fn story_line(id: &str, log: &str, line: &str) -> Option<StoryLine> {
    let at_ms = value_of(line, "at_ms")?.parse().ok()?;
    let own = line.contains(id);
    let event = value_of(line, "event")?;
    if !own && !SURROUNDINGS.contains(&event) {
        return None;
    }
    let text = line.split_once(" event=").map_or(line, |(_, rest)| rest);
    Some(StoryLine {
        at_ms,
        log: log.to_owned(),
        own,
        text: text.to_owned(),
    })
}

fn value_of<'a>(line: &'a str, key: &str) -> Option<&'a str> {
    let mut pairs = line.split(' ').filter_map(|pair| pair.split_once('='));
    pairs.find(|(name, _)| *name == key).map(|(_, value)| value)
}

fn dropped_lines(line: &str) -> u64 {
    if value_of(line, "event") != Some("log-lines-dropped") {
        return 0;
    }
    let count = value_of(line, "count").and_then(|count| count.parse().ok());
    count.unwrap_or_default()
}
