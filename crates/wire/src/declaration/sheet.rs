//! Sheets: CSV files with a header, comments after '#', and a line for each row.

use {super::declaration_fault::DeclarationFault, serde::de::DeserializeOwned, std::path::Path};

/// A row with the line it stands on.
#[derive(Debug)]
pub struct SheetRow<T> {
    /// The line, counted from 1.
    pub line: u64,
    /// The row.
    pub row: T,
}

/// Reads every row that can be read, and names every fault.
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
        let line = record.position().map_or(0, csv::Position::line);
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
    let index = err.field().and_then(|field| usize::try_from(field).ok());
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
        format!("'{cell}' does not fit: {}", err.kind()),
    )
}
