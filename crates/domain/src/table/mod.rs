//! The operators' table: rows, validation, and changes by revision.

mod fleet_table;
mod row_change;
mod row_fault;
mod rows;
mod table_log;

pub use {
    fleet_table::FleetTable,
    row_change::{RowChange, TableChange},
    row_fault::{RowFault, TableKind},
    rows::{CentreRow, KeyRow, PoolRow, QueueRow, TargetKind, TeamRow, WorkClass},
    table_log::TableLog,
};
