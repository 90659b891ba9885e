//! Faults of a declaration, with file, row and column.

use {
    serde::Serialize,
    snafu::Snafu,
    std::path::{Path, PathBuf},
};

/// A place in a declaration's files.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct FilePlace {
    /// The file.
    pub file: PathBuf,
    /// The line, counted from 1; nought for the file as a whole.
    pub line: u64,
    /// The column's name, empty for the whole row.
    pub column: String,
}

/// One fault, with what to do about it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Snafu)]
#[snafu(display("{}:{}: {}{problem}", place.file.display(), place.line, column_text(place)))]
pub struct DeclarationFault {
    /// Where it is.
    pub place: FilePlace,
    /// What is wrong and what to do.
    pub problem: String,
}

impl DeclarationFault {
    /// A fault at the given place.
    pub fn new(file: &Path, line: u64, column: &str, problem: impl Into<String>) -> Self {
        let place = FilePlace {
            file: file.to_owned(),
            line,
            column: column.to_owned(),
        };
        Self {
            place,
            problem: problem.into(),
        }
    }
}

fn column_text(place: &FilePlace) -> String {
    if place.column.is_empty() {
        String::new()
    } else {
        format!("column '{}': ", place.column)
    }
}
