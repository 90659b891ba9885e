//! The operators' declaration: a TOML file with teams and pools in CSV sheets.

mod declaration_fault;
mod declaration_file;
mod sheet;

pub use {
    declaration_fault::{DeclarationFault, FileLocation},
    declaration_file::{DeclarationFile, read_declaration, write_declaration},
    sheet::{SheetRow, read_sheet},
};
