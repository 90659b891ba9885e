//! Faults of a declaration, with file, line and column.

use {
    serde::Serialize,
    snafu::Snafu,
    std::path::{Path, PathBuf},
};

/// A location in the files of a declaration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct FileLocation {
    /// The file.
    pub file: PathBuf,
    /// The line, counted from 1; 0 for the file as a whole.
    pub line: u64,
    /// Name of the column; empty for the row as a whole.
    pub column: String,
}

/// One fault of a declaration, and how to correct it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Snafu)]
#[snafu(display("{}:{}: {}{problem}", location.file.display(), location.line, column_prefix(location)))]
pub struct DeclarationFault {
    /// Location of the fault.
    #[serde(rename = "place")]
    pub location: FileLocation,
    /// Description of the fault and its correction.
    pub problem: String,
}

impl DeclarationFault {
    /// Creates a fault at the given location.
    pub fn new(file: &Path, line: u64, column: &str, problem: impl Into<String>) -> Self {
        let location = FileLocation {
            file: file.to_owned(),
            line,
            column: column.to_owned(),
        };
        Self {
            location,
            problem: problem.into(),
        }
    }
}

fn column_prefix(location: &FileLocation) -> String {
    if location.column.is_empty() {
        String::new()
    } else {
        format!("column '{}': ", location.column)
    }
}
