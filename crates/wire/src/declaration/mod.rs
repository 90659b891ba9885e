//! The operators' declaration: one TOML file, its teams and pools in CSV sheets.

mod declaration_fault;
mod declaration_file;
mod sheet;

pub use {
    declaration_fault::{DeclarationFault, FilePlace},
    declaration_file::{DeclarationFile, read_declaration, write_declaration},
    sheet::{SheetRow, read_sheet},
};
