//! The declaration: check, diff, apply, show, history.

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

/// What applying came to.
#[derive(Serialize)]
struct AppliedReport {
    revision: u64,
    changed_rows: usize,
    in_force: bool,
}

fn read(file: &Path) -> Result<FleetTable, CtlFault> {
    read_declaration(file).map_err(|faults| CtlFault::Declaration { faults })
}

/// Checks a declaration without asking any entry.
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

/// What leads from the table in force to the declaration. Keys granted by command stay:
/// the declaration names none of them unless it has keys of its own.
fn changes(present: &FleetTable, wanted: &FleetTable) -> Vec<RowChange> {
    let mut changes = present.diff_to(wanted);
    if wanted.keys.is_empty() {
        changes.retain(|change| match change {
            RowChange::Key(digest, None) => is_orphaned(present, wanted, digest),
            _ => true,
        });
    }
    changes
}

/// Whether a key's team is no longer in the table.
fn is_orphaned(present: &FleetTable, wanted: &FleetTable, digest: &KeyDigest) -> bool {
    let row = present.keys.get(digest);
    row.is_some_and(|row| !wanted.teams.contains_key(&row.team))
}

/// Shows what applying a declaration would change.
pub(crate) async fn diff(context: &CommandContext, file: &Path) -> Result<(), CtlFault> {
    let wanted = read(file)?;
    let present = context.link.table().await?;
    let changes = changes(&present, &wanted);
    context.printer.print(&changes, || {
        if changes.is_empty() {
            return vec![format!(
                "nothing differs from revision {}",
                present.revision
            )];
        }
        let mut lines = vec![format!("against revision {}:", present.revision)];
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
    let wanted = read(file)?;
    let present = context.link.table().await?;
    let rows = changes(&present, &wanted);
    let changed_rows = rows.len();
    let revision = if rows.is_empty() {
        present.revision
    } else {
        let order = ApplyRequest {
            base_revision: present.revision,
            token: rand::random(),
            author: context.author.clone(),
            rows,
        };
        context.link.apply(&order).await?
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

/// Waits until a revision is in force, or names the entries waited for.
pub(super) async fn await_revision(
    context: &CommandContext,
    revision: u64,
    wait: Duration,
) -> Result<(), CtlFault> {
    let report = context.link.await_revision(revision, wait).await?;
    if report.awaiting.is_empty() {
        return Ok(());
    }
    let awaiting = report.awaiting.iter().map(ToString::to_string).collect();
    Err(CtlFault::Awaiting { revision, awaiting })
}

/// Shows the table in force, or writes it as a declaration.
pub(crate) async fn show(context: &CommandContext, out: Option<&Path>) -> Result<(), CtlFault> {
    let table = context.link.table().await?;
    if let Some(folder) = out {
        write_declaration(folder, &table).map_err(|source| CtlFault::File {
            what: folder.display().to_string(),
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

/// Shows the changes still kept.
pub(crate) async fn history(context: &CommandContext) -> Result<(), CtlFault> {
    let history = context.link.history().await?;
    context.printer.print(&history, || {
        let header = ["revision", "author", "at (ms since 1970)", "rows"];
        let mut rows = vec![header.map(str::to_owned).to_vec()];
        for change in &history.changes {
            let changed: Vec<String> = change.rows.iter().map(ToString::to_string).collect();
            rows.push(vec![
                change.revision.to_string(),
                change.author.clone(),
                change.at_ms.to_string(),
                shortened(&changed),
            ]);
        }
        aligned(&rows)
    });
    Ok(())
}

fn shortened(changed: &[String]) -> String {
    /// Rows of one change shown in full.
    const ROWS_SHOWN: usize = 3;
    let mut text = changed[..changed.len().min(ROWS_SHOWN)].join("; ");
    if changed.len() > ROWS_SHOWN {
        let more = changed.len() - ROWS_SHOWN;
        text = format!("{text}; and {more} more");
    }
    text
}
