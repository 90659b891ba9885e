//! Sheets: CSV files with a header line and with comment lines that start with `#`.

use {super::declaration_fault::DeclarationFault, serde::de::DeserializeOwned, std::path::Path};

/// A row and its line.
#[derive(Debug)]
pub struct SheetRow<T> {
    /// The line, counted from 1.
    pub line: u64,
    /// The row.
    pub row: T,
}

/// Reads all valid rows, and returns the faults of the others.
pub fn read_sheet<T: DeserializeOwned>(
    file: &Path,
    text: &str,
) -> (Vec<SheetRow<T>>, Vec<DeclarationFault>) {
    let mut reader = csv::ReaderBuilder::new()
        .comment(Some(b'#'))
        .trim(csv::Trim::All)
        .from_reader(text.as_bytes());
    let headers = match reader.headers() {
        Ok(headers) => headers.clone(),
        Err(error) => {
            return (
                Vec::new(),
                vec![DeclarationFault::new(file, 1, "", error.to_string())],
            );
        }
    };
    let mut rows = Vec::new();
    let mut faults = Vec::new();
    for record in reader.records() {
        let record = match record {
            Ok(record) => record,
            Err(error) => {
                let line = error.position().map_or(0, csv::Position::line);
                faults.push(DeclarationFault::new(file, line, "", error.to_string()));
                continue;
            }
        };
        let line = record
            .position()
            .map_or(0, |position| row_line(text, position));
        match record.deserialize(Some(&headers)) {
            Ok(row) => rows.push(SheetRow { line, row }),
            Err(error) => faults.push(cell_fault(file, line, &headers, &record, &error)),
        }
    }
    (rows, faults)
}

fn cell_fault(
    file: &Path,
    line: u64,
    headers: &csv::StringRecord,
    record: &csv::StringRecord,
    error: &csv::Error,
) -> DeclarationFault {
    let csv::ErrorKind::Deserialize { err, .. } = error.kind() else {
        return DeclarationFault::new(file, line, "", error.to_string());
    };
    let reported = err.field().and_then(|field| usize::try_from(field).ok());
    let index = reported.or_else(|| quoted_cell(record, &err.kind().to_string()));
    let column = index
        .and_then(|index| headers.get(index))
        .unwrap_or_default();
    let cell = index
        .and_then(|index| record.get(index))
        .unwrap_or_default();
    DeclarationFault::new(
        file,
        line,
        column,
        format!("invalid value '{cell}': {}", err.kind()),
    )
}

/// Returns the line of a row. The CSV reader's position may be that of a comment or blank
/// line above the row.
fn row_line(text: &str, position: &csv::Position) -> u64 {
    let offset = usize::try_from(position.byte()).unwrap_or_default();
    let rest = text.get(offset..).unwrap_or_default().lines();
    let skipped = rest.take_while(|line| line.trim().is_empty() || line.starts_with('#'));
    position.line() + skipped.count() as u64
}

/// Returns the index of the cell that the message of a validated type quotes.
fn quoted_cell(record: &csv::StringRecord, message: &str) -> Option<usize> {
    let quotes = |cell: &str| {
        message.contains(&format!("'{cell}'")) || message.contains(&format!("`{cell}`"))
    };
    record
        .iter()
        .position(|cell| !cell.is_empty() && quotes(cell))
}
