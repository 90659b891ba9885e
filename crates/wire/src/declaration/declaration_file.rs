//! Reading and writing of declarations.

use {
    super::{
        declaration_fault::DeclarationFault,
        sheet::{SheetRow, read_sheet},
    },
    dotterelshore_domain::{
        collections::FastMap,
        table::{
            CentreRow, FleetTable, KeyRow, PoolRow, QueueRow, RowChange, RowFault, TableKind,
            TeamRow,
        },
    },
    serde::{Deserialize, Serialize},
    std::{
        fmt::Write,
        path::{Path, PathBuf},
    },
};

/// The main file of a declaration, in TOML.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct DeclarationFile {
    /// Path of the CSV sheet of teams, relative to this file.
    pub teams_sheet: PathBuf,
    /// Path of the CSV sheet of pools, relative to this file.
    pub pools_sheet: PathBuf,
    /// Data centres.
    pub data_centre: Vec<CentreRow>,
    /// Queues.
    pub queue: Vec<QueueRow>,
    /// Keys, as digests.
    pub key: Vec<KeyRow>,
}

/// File and line of each row, for fault messages.
type RowLocations = FastMap<(TableKind, String), (PathBuf, u64)>;

struct TableReader {
    table: FleetTable,
    locations: RowLocations,
    faults: Vec<DeclarationFault>,
}

/// Reads and validates a declaration. The table's revision is 0.
///
/// # Errors
///
/// All faults found, with file, line and column.
pub fn read_declaration(path: &Path) -> Result<FleetTable, Vec<DeclarationFault>> {
    let text = read_text(path)?;
    let file: DeclarationFile = toml::from_str(&text).map_err(|error| {
        let line = error.span().map_or(0, |span| line_at(&text, span.start));
        vec![DeclarationFault::new(path, line, "", error.message())]
    })?;
    let mut reader = TableReader {
        table: FleetTable::default(),
        locations: RowLocations::default(),
        faults: Vec::new(),
    };
    let folder = path.parent().unwrap_or(Path::new("."));
    reader.add_toml_rows(path, &text, &file);
    reader.add_sheet(
        &folder.join(&file.pools_sheet),
        TableKind::Pools,
        |row: &PoolRow| {
            (
                row.name.to_string(),
                RowChange::Pool(row.name.clone(), Some(row.clone())),
            )
        },
    );
    reader.add_sheet(
        &folder.join(&file.teams_sheet),
        TableKind::Teams,
        |row: &TeamRow| {
            (
                row.name.to_string(),
                RowChange::Team(row.name.clone(), Some(row.clone())),
            )
        },
    );
    reader.finish(path)
}

impl TableReader {
    fn add_toml_rows(&mut self, path: &Path, text: &str, file: &DeclarationFile) {
        for row in &file.data_centre {
            let change = RowChange::Centre(row.name.clone(), Some(row.clone()));
            self.add_row(
                path,
                toml_line(text, row.name.as_str()),
                TableKind::Centres,
                row.name.to_string(),
                change,
            );
        }
        for row in &file.queue {
            let change = RowChange::Queue(row.name.clone(), Some(row.clone()));
            self.add_row(
                path,
                toml_line(text, row.name.as_str()),
                TableKind::Queues,
                row.name.to_string(),
                change,
            );
        }
        for row in &file.key {
            let change = RowChange::Key(row.digest.clone(), Some(row.clone()));
            self.add_row(
                path,
                toml_line(text, row.digest.as_str()),
                TableKind::Keys,
                row.digest.to_string(),
                change,
            );
        }
    }

    fn add_sheet<T: serde::de::DeserializeOwned>(
        &mut self,
        path: &Path,
        kind: TableKind,
        name_row: fn(&T) -> (String, RowChange),
    ) {
        let text = match read_text(path) {
            Ok(text) => text,
            Err(faults) => return self.faults.extend(faults),
        };
        let (rows, faults) = read_sheet::<T>(path, &text);
        self.faults.extend(faults);
        for SheetRow { line, row } in rows {
            let (name, change) = name_row(&row);
            self.add_row(path, line, kind, name, change);
        }
    }

    fn add_row(
        &mut self,
        path: &Path,
        line: u64,
        kind: TableKind,
        name: String,
        change: RowChange,
    ) {
        if let Some((_, first)) = self.locations.get(&(kind, name.clone())) {
            let problem = format!("'{name}' is already declared on line {first}; remove one");
            self.faults
                .push(DeclarationFault::new(path, line, "name", problem));
            return;
        }
        self.locations.insert((kind, name), (path.to_owned(), line));
        self.table.apply_row(change);
    }

    fn finish(mut self, path: &Path) -> Result<FleetTable, Vec<DeclarationFault>> {
        for fault in self.table.validate() {
            let fault = locate(path, &self.locations, &fault);
            self.faults.push(fault);
        }
        if self.faults.is_empty() {
            Ok(self.table)
        } else {
            Err(self.faults)
        }
    }
}

fn locate(path: &Path, locations: &RowLocations, fault: &RowFault) -> DeclarationFault {
    let location = locations.get(&(fault.table, fault.row.clone()));
    let (file, line) = location.map_or((path, 0), |(file, line)| (file.as_path(), *line));
    DeclarationFault::new(
        file,
        line,
        &fault.column,
        format!("{} '{}': {}", fault.table, fault.row, fault.problem),
    )
}

fn read_text(path: &Path) -> Result<String, Vec<DeclarationFault>> {
    std::fs::read_to_string(path).map_err(|error| {
        vec![DeclarationFault::new(
            path,
            0,
            "",
            format!("cannot read the file: {error}"),
        )]
    })
}

/// Returns the line, counted from 1, of a byte offset.
fn line_at(text: &str, offset: usize) -> u64 {
    let before = text.get(..offset).unwrap_or(text);
    before.bytes().filter(|byte| *byte == b'\n').count() as u64 + 1
}

/// Returns the last line that contains the quoted value, counted from 1, so that a
/// duplicate is reported where it recurs. Returns 0 if no line contains it.
fn toml_line(text: &str, value: &str) -> u64 {
    let quoted = format!("\"{value}\"");
    let found = text
        .lines()
        .enumerate()
        .filter(|(_, line)| line.contains(&quoted))
        .last();
    found.map_or(0, |(index, _)| index as u64 + 1)
}

/// Writes a table as the three files of a declaration into a folder.
///
/// # Errors
///
/// Any error of the file system or of the encoder.
pub fn write_declaration(folder: &Path, table: &FleetTable) -> std::io::Result<()> {
    let file = DeclarationFile {
        teams_sheet: PathBuf::from("teams.csv"),
        pools_sheet: PathBuf::from("pools.csv"),
        data_centre: rows_by_name(&table.centres),
        queue: rows_by_name(&table.queues),
        key: rows_by_name(&table.keys),
    };
    let text = toml::to_string(&file).map_err(std::io::Error::other)?;
    std::fs::write(folder.join("fleet.toml"), text)?;
    let mut pools = String::from("name,kind,size,max_out\n");
    for row in rows_by_name(&table.pools) {
        let kind = serde_json::to_value(row.kind).map_err(std::io::Error::other)?;
        let kind = kind.as_str().unwrap_or_default();
        let _infallible = writeln!(pools, "{},{kind},{},{}", row.name, row.size, row.max_out);
    }
    std::fs::write(folder.join("pools.csv"), pools)?;
    let mut teams = String::from("name,weight,ceiling\n");
    for row in rows_by_name(&table.teams) {
        let _infallible = writeln!(teams, "{},{},{}", row.name, row.weight, row.ceiling);
    }
    std::fs::write(folder.join("teams.csv"), teams)
}

fn rows_by_name<K: Ord, V: Clone>(rows: &FastMap<K, V>) -> Vec<V> {
    let mut rows: Vec<(&K, &V)> = rows.iter().collect();
    rows.sort_by(|a, b| a.0.cmp(b.0));
    rows.into_iter().map(|(_, row)| row.clone()).collect()
}
