//! Commands for instances: list, add, drain, resume and move.

use {
    super::CommandContext,
    crate::{
        cli::{CtlFault, InstanceCommand},
        output::aligned,
    },
    dotterelshore_domain::names::{InstanceName, PoolName},
    dotterelshore_wire::{
        declaration::read_sheet,
        operator_message::{MoveRequest, NewInstance},
    },
    std::path::Path,
};

/// Lists, adds, drains and moves instances.
pub(crate) async fn instances(
    context: &CommandContext,
    command: InstanceCommand,
) -> Result<(), CtlFault> {
    match command {
        InstanceCommand::List => list(context).await,
        InstanceCommand::Add { sheet } => add(context, &sheet).await,
        InstanceCommand::Drain { name } => set_drained(context, &name, true).await,
        InstanceCommand::Resume { name } => set_drained(context, &name, false).await,
        InstanceCommand::Move { name, pool } => move_one(context, &name, &pool).await,
    }
}

async fn list(context: &CommandContext) -> Result<(), CtlFault> {
    let records = context.client.instances().await?;
    context.printer.print(&records, || {
        let header = [
            "name",
            "kind",
            "pool",
            "data centre",
            "rack",
            "state",
            "maintained",
        ];
        let mut rows = vec![header.map(str::to_owned).to_vec()];
        for record in &records {
            rows.push(vec![
                record.name.to_string(),
                format!("{:?}", record.kind).to_lowercase(),
                record.pool.to_string(),
                record.centre.to_string(),
                record.rack.to_string(),
                format!("{:?}", record.state),
                record.maintained.to_string(),
            ]);
        }
        aligned(&rows)
    });
    Ok(())
}

async fn add(context: &CommandContext, sheet: &Path) -> Result<(), CtlFault> {
    let text = std::fs::read_to_string(sheet).map_err(|source| CtlFault::File {
        subject: sheet.display().to_string(),
        source,
    })?;
    let (rows, faults) = read_sheet::<NewInstance>(sheet, &text);
    if !faults.is_empty() {
        return Err(CtlFault::Declaration { faults });
    }
    let instances: Vec<NewInstance> = rows.into_iter().map(|row| row.row).collect();
    let added = context.client.add_instances(&instances).await?;
    context.printer.print(&added, || {
        vec![format!("{added} of {} instances are new", instances.len())]
    });
    Ok(())
}

async fn set_drained(context: &CommandContext, name: &str, drained: bool) -> Result<(), CtlFault> {
    let name = InstanceName::try_from(name)?;
    let name = context.client.set_drained(&name, drained).await?;
    let state = if drained { "draining" } else { "in service" };
    context
        .printer
        .print(&name, || vec![format!("instance {name} is {state}")]);
    Ok(())
}

async fn move_one(context: &CommandContext, name: &str, pool: &str) -> Result<(), CtlFault> {
    let name = InstanceName::try_from(name)?;
    let request = MoveRequest {
        pool: PoolName::try_from(pool)?,
    };
    let name = context.client.move_instance(&name, &request).await?;
    context.printer.print(&name, || {
        vec![format!(
            "instance {name} drains and then belongs to pool {pool}"
        )]
    });
    Ok(())
}
