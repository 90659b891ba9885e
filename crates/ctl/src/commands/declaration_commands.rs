//! Commands for declarations: check, diff, apply, show and history.

use {
    super::CommandContext,
    crate::{cli::CtlFault, output::aligned},
    dotterelshore_domain::{
        names::KeyDigest,
        table::{FleetTable, RowChange},
    },
    dotterelshore_wire::{
        declaration::{read_declaration, write_declaration},
        operator_message::ApplyRequest,
    },
    serde::Serialize,
    std::{path::Path, time::Duration},
};

/// Result of applying a declaration.
#[derive(Serialize)]
struct AppliedReport {
    revision: u64,
    changed_rows: usize,
    in_force: bool,
}

fn read(file: &Path) -> Result<FleetTable, CtlFault> {
    read_declaration(file).map_err(|faults| CtlFault::Declaration { faults })
}

/// Checks a declaration without contacting an entry.
pub(crate) fn check(context: &CommandContext, file: &Path) -> Result<(), CtlFault> {
    let table = read(file)?;
    context.printer.print(&table, || {
        vec![format!(
            "{} is sound: {} data centres, {} pools, {} queues, {} teams, {} keys",
            file.display(),
            table.centres.len(),
            table.pools.len(),
            table.queues.len(),
            table.teams.len(),
            table.keys.len()
        )]
    });
    Ok(())
}

/// Returns the row changes that turn the table in force into the declaration.
///
/// If the declaration lists no keys, keys granted by command stay, unless their team is removed.
fn changes(current: &FleetTable, declared: &FleetTable) -> Vec<RowChange> {
    let mut changes = current.diff_to(declared);
    if declared.keys.is_empty() {
        changes.retain(|change| match change {
            RowChange::Key(digest, None) => has_removed_team(current, declared, digest),
            _ => true,
        });
    }
    changes
}

/// Whether a key's team is no longer in the table.
fn has_removed_team(current: &FleetTable, declared: &FleetTable, digest: &KeyDigest) -> bool {
    let row = current.keys.get(digest);
    row.is_some_and(|row| !declared.teams.contains_key(&row.team))
}

/// Shows what applying a declaration would change.
pub(crate) async fn diff(context: &CommandContext, file: &Path) -> Result<(), CtlFault> {
    let declared = read(file)?;
    let current = context.client.table().await?;
    let changes = changes(&current, &declared);
    context.printer.print(&changes, || {
        if changes.is_empty() {
            return vec![format!(
                "nothing differs from revision {}",
                current.revision
            )];
        }
        let mut lines = vec![format!("against revision {}:", current.revision)];
        lines.extend(changes.iter().map(|change| format!("  {change}")));
        lines
    });
    Ok(())
}

/// Applies a declaration as the next revision, and waits for it to be in force.
pub(crate) async fn apply(
    context: &CommandContext,
    file: &Path,
    wait: Option<Duration>,
) -> Result<(), CtlFault> {
    let declared = read(file)?;
    let current = context.client.table().await?;
    let rows = changes(&current, &declared);
    let changed_rows = rows.len();
    let revision = if rows.is_empty() {
        current.revision
    } else {
        let request = ApplyRequest {
            base_revision: current.revision,
            token: rand::random(),
            author: context.author.clone(),
            rows,
        };
        context.client.apply(&request).await?
    };
    context.printer.progress(&format!(
        "revision {revision} is recorded ({changed_rows} rows)"
    ));
    if let Some(wait) = wait {
        await_revision(context, revision, wait).await?;
    }
    let report = AppliedReport {
        revision,
        changed_rows,
        in_force: wait.is_some(),
    };
    context.printer.print(&report, || {
        let state = if report.in_force {
            "in force at every live entry"
        } else {
            "recorded; 'apply --wait' also waits until it is in force"
        };
        vec![format!("revision {revision}: {state}")]
    });
    Ok(())
}

/// Waits until a revision is in force at every live entry.
///
/// # Errors
///
/// [`CtlFault::Awaiting`] names the entries at which it is not in force after `wait`.
pub(super) async fn await_revision(
    context: &CommandContext,
    revision: u64,
    wait: Duration,
) -> Result<(), CtlFault> {
    let report = context.client.await_revision(revision, wait).await?;
    if report.awaiting.is_empty() {
        return Ok(());
    }
    let awaiting = report.awaiting.iter().map(ToString::to_string).collect();
    Err(CtlFault::Awaiting { revision, awaiting })
}

/// Shows the table in force, or writes it as a declaration.
pub(crate) async fn show(context: &CommandContext, out: Option<&Path>) -> Result<(), CtlFault> {
    let table = context.client.table().await?;
    if let Some(folder) = out {
        write_declaration(folder, &table).map_err(|source| CtlFault::File {
            subject: folder.display().to_string(),
            source,
        })?;
        context
            .printer
            .progress(&format!("revision {} is written", table.revision));
        return Ok(());
    }
    context.printer.print(&table, || {
        let mut lines = vec![format!("revision {}", table.revision)];
        let rows = FleetTable::default().diff_to(&table);
        lines.extend(rows.iter().map(|row| {
            let text = row.to_string();
            format!("  {}", text.trim_start_matches("put "))
        }));
        lines
    });
    Ok(())
}

/// Shows the retained changes of the table.
pub(crate) async fn history(context: &CommandContext) -> Result<(), CtlFault> {
    let history = context.client.history().await?;
    context.printer.print(&history, || {
        let header = ["revision", "author", "at (ms since 1970)", "rows"];
        let mut rows = vec![header.map(str::to_owned).to_vec()];
        for change in &history.changes {
            let changed: Vec<String> = change.rows.iter().map(ToString::to_string).collect();
            rows.push(vec![
                change.revision.to_string(),
                change.author.clone(),
                change.at_ms.to_string(),
                first_rows(&changed),
            ]);
        }
        aligned(&rows)
    });
    Ok(())
}

fn first_rows(changed: &[String]) -> String {
    /// Number of rows shown for each change.
    const ROWS_SHOWN: usize = 3;
    let mut text = changed[..changed.len().min(ROWS_SHOWN)].join("; ");
    if changed.len() > ROWS_SHOWN {
        let more = changed.len() - ROWS_SHOWN;
        text = format!("{text}; and {more} more");
    }
    text
}
