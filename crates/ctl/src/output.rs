//! Output of commands: text for people, JSON for programs.

use serde::Serialize;

/// Prints results as text or as JSON.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Printer {
    json: bool,
}

impl Printer {
    /// Creates a printer for JSON, or for text.
    pub(crate) fn new(json: bool) -> Self {
        Self { json }
    }

    /// Prints the value as JSON, or the lines as text.
    pub(crate) fn print<T: Serialize>(self, value: &T, lines: impl FnOnce() -> Vec<String>) {
        if self.json {
            match serde_json::to_string_pretty(value) {
                Ok(text) => println!("{text}"),
                Err(error) => eprintln!("can't encode the result as JSON: {error}"),
            }
            return;
        }
        for line in lines() {
            println!("{line}");
        }
    }

    /// Prints a progress line to standard error, unless the output is JSON.
    pub(crate) fn progress(self, line: &str) {
        if !self.json {
            eprintln!("{line}");
        }
    }
}

/// Formats rows of cells as lines with aligned columns.
pub(crate) fn aligned(rows: &[Vec<String>]) -> Vec<String> {
    let columns = rows.iter().map(Vec::len).max().unwrap_or_default();
    let width = |column: usize| {
        let cells = rows.iter().filter_map(|row| row.get(column));
        cells.map(|cell| cell.chars().count()).max().unwrap_or(0)
    };
    let widths: Vec<usize> = (0..columns).map(width).collect();
    let line = |row: &Vec<String>| {
        let cells = row.iter().zip(&widths);
        let cells: Vec<String> = cells
            .map(|(cell, width)| format!("{cell:<width$}"))
            .collect();
        cells.join("  ").trim_end().to_owned()
    };
    rows.iter().map(line).collect()
}
