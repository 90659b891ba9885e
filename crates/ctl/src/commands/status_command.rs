//! Command for the status of teams, pools and waves.

use {
    super::CommandContext,
    crate::{cli::CtlFault, output::aligned},
    dotterelshore_wire::operator_message::StatusReport,
};

/// Shows the usage of teams, and the status of pools and waves.
pub(crate) async fn status(context: &CommandContext) -> Result<(), CtlFault> {
    let status = context.client.status().await?;
    context.printer.print(&status, || {
        let mut lines = summary_lines(&status);
        lines.push(String::new());
        lines.extend(aligned(&team_rows(&status)));
        lines.push(String::new());
        lines.extend(aligned(&pool_rows(&status)));
        for wave in &status.waves {
            lines.push(String::new());
            lines.push(super::wave_commands::progress_line(wave));
        }
        lines
    });
    Ok(())
}

fn summary_lines(status: &StatusReport) -> Vec<String> {
    let platform = if status.platform_reached {
        "reachable"
    } else {
        "unreachable"
    };
    let mut lines = vec![format!(
        "revision {} at {}; platform {platform}; figures of {} entries",
        status.revision,
        status.entry,
        status.entries.len()
    )];
    if !status.silent.is_empty() {
        let silent: Vec<&str> = status
            .silent
            .iter()
            .map(dotterelshore_domain::names::EntryName::as_str)
            .collect();
        lines.push(format!("no answer from: {}", silent.join(", ")));
    }
    lines
}

fn team_rows(status: &StatusReport) -> Vec<Vec<String>> {
    let header = [
        "team", "share %", "usage %", "running", "ceiling", "permits", "waiting", "late",
    ];
    let mut rows = vec![header.map(str::to_owned).to_vec()];
    for team in &status.teams {
        rows.push(vec![
            team.team.to_string(),
            format!("{:.1}", team.due_percent),
            format!("{:.1}", team.got_percent),
            team.usage.running.to_string(),
            team.ceiling.to_string(),
            team.usage.held.to_string(),
            team.usage.waiting.to_string(),
            team.usage.late.to_string(),
        ]);
    }
    rows
}

fn pool_rows(status: &StatusReport) -> Vec<Vec<String>> {
    let header = [
        "pool",
        "in service",
        "size",
        "max unavailable",
        "unavailable",
    ];
    let mut rows = vec![header.map(str::to_owned).to_vec()];
    for pool in &status.pools {
        let unavailable: Vec<&str> = pool
            .out
            .iter()
            .map(dotterelshore_domain::names::InstanceName::as_str)
            .collect();
        rows.push(vec![
            pool.pool.to_string(),
            pool.in_service.to_string(),
            pool.size.to_string(),
            pool.max_out.to_string(),
            unavailable.join(" "),
        ]);
    }
    rows
}
