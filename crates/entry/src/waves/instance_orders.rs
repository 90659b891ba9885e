//! Single orders of operators for instances.

use {
    super::drain_steps::{
        await_quiet, change_instance, holds_token, mark_draining, return_token, take_token,
    },
    crate::{fleet::KnownInstance, node::EntryNode},
    dotterelshore_domain::{
        codes::{Refusal, ResultCode},
        fleet::{InstanceRecord, ServiceState},
        names::{InstanceName, PoolName, WaveName},
    },
    dotterelshore_wire::{log_event, operator_message::NewInstance, store_client::UpdateDecision},
    std::sync::Arc,
};

/// The holder of tokens for drains and moves that operators order.
fn order_holder(instance: &InstanceName) -> Result<WaveName, Refusal> {
    let holder = WaveName::try_from(format!("order:{instance}"));
    holder.map_err(|fault| Refusal::not_run(ResultCode::MalformedRequest, fault.to_string()))
}

/// Records instances that are new; one that is recorded already stays as it is.
pub(crate) async fn add_instances(
    node: &EntryNode,
    added: Vec<NewInstance>,
) -> Result<usize, Refusal> {
    let table = node.table();
    for instance in &added {
        let pool = table.pool(&instance.pool)?;
        if pool.kind != instance.kind {
            let detail = format!(
                "pool '{}' has {:?}s, and '{}' is none",
                pool.name, pool.kind, instance.name
            );
            return Err(Refusal::not_run(ResultCode::WrongPoolKind, detail));
        }
    }
    let mut count = 0;
    for instance in added {
        let record = InstanceRecord {
            name: instance.name,
            kind: instance.kind,
            pool: instance.pool,
            centre: instance.centre,
            rack: instance.rack,
            address: instance.address,
            state: ServiceState::InService,
            boot_count_at_stop: 0,
            maintained: 0,
        };
        let key = format!("instance/{}", record.name);
        count += node
            .store
            .update(&key, |known: Option<InstanceRecord>| {
                let known = known.is_some();
                Ok(if known {
                    UpdateDecision::Keep(0)
                } else {
                    UpdateDecision::Write(record.clone(), 1)
                })
            })
            .await?;
    }
    Ok(count)
}

/// Takes the leave for an order and marks the instance; gives the leave back if the mark
/// can't be set. An order under way for the instance refuses a second one.
async fn begin_order(
    node: &Arc<EntryNode>,
    pool: &PoolName,
    instance: &InstanceName,
    holder: &WaveName,
) -> Result<KnownInstance, Refusal> {
    if holds_token(node, pool, instance, holder).await? {
        let detail = format!("an order for instance '{instance}' is under way");
        return Err(Refusal::not_run(ResultCode::InstanceBusy, detail));
    }
    take_token(node, pool, instance, holder).await?;
    let marked = mark_draining(node, instance).await;
    if marked.is_err() {
        return_token(node, pool, instance, holder).await;
    }
    marked
}

/// Drains an instance and keeps it out until it is resumed.
pub(crate) async fn drain_instance(
    node: &Arc<EntryNode>,
    instance: &InstanceName,
) -> Result<(), Refusal> {
    let pool = pool_of(node, instance)?;
    begin_order(node, &pool, instance, &order_holder(instance)?).await?;
    log_event!(Info, "drain-ordered", instance = instance, pool = pool);
    Ok(())
}

/// Puts an instance back into service that was drained by order.
pub(crate) async fn resume_instance(
    node: &Arc<EntryNode>,
    instance: &InstanceName,
) -> Result<(), Refusal> {
    let pool = pool_of(node, instance)?;
    let holder = order_holder(instance)?;
    if !holds_token(node, &pool, instance, &holder).await? {
        let detail = format!("instance '{instance}' was not drained by order");
        return Err(Refusal::not_run(ResultCode::InstanceBusy, detail));
    }
    change_instance(node, instance, |record| {
        record.resume();
        Ok(())
    })
    .await?;
    return_token(node, &pool, instance, &holder).await;
    log_event!(Info, "instance-resumed", instance = instance, pool = pool);
    Ok(())
}

/// Moves an instance to another pool: drained first, then one write of its record.
pub(crate) async fn move_instance(
    node: &Arc<EntryNode>,
    instance: &InstanceName,
    to: &PoolName,
) -> Result<(), Refusal> {
    let from = pool_of(node, instance)?;
    let table = node.table();
    if table.pool(to)?.kind != table.pool(&from)?.kind {
        let detail = format!("pools '{from}' and '{to}' have targets of different kinds");
        return Err(Refusal::not_run(ResultCode::WrongPoolKind, detail));
    }
    if from == *to {
        return Ok(());
    }
    let holder = order_holder(instance)?;
    let known = begin_order(node, &from, instance, &holder).await?;
    let node = Arc::clone(node);
    let instance = instance.clone();
    let to = to.clone();
    let finish = tokio::spawn(async move {
        await_quiet(&node, &known).await;
        let moved = super::drain_steps::insist(|| async {
            change_instance(&node, &instance, |record| {
                if record.pool == to {
                    Ok(())
                } else {
                    record.move_to(to.clone())
                }
            })
            .await
        });
        let moved = moved.await.is_some();
        return_token(&node, &from, &instance, &holder).await;
        log_event!(
            Info,
            "instance-moved",
            instance = instance,
            from = from,
            to = to,
            moved = moved
        );
    });
    let _goes_on = finish;
    Ok(())
}

fn pool_of(node: &EntryNode, instance: &InstanceName) -> Result<PoolName, Refusal> {
    let unknown = || {
        Refusal::not_run(
            ResultCode::UnknownInstance,
            format!("no instance '{instance}' is recorded"),
        )
    };
    Ok(node
        .fleet
        .instance(instance)
        .ok_or_else(unknown)?
        .record
        .pool)
}
