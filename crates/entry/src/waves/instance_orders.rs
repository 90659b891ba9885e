//! Operators' orders for single instances.

use {
    super::drain_steps::{
        acquire_token, await_idle, change_instance, holds_token, mark_draining, release_token,
    },
    crate::{fleet::CachedInstance, node::EntryNode},
    dotterelshore_domain::{
        codes::{Refusal, ResultCode},
        fleet::{InstanceRecord, ServiceState},
        names::{InstanceName, PoolName, WaveName},
    },
    dotterelshore_wire::{log_event, operator_message::NewInstance, store_client::UpdateDecision},
    std::sync::Arc,
};

/// Returns the name under which an operator's drain or move of an instance holds its token.
fn order_holder(instance: &InstanceName) -> Result<WaveName, Refusal> {
    let holder = WaveName::try_from(format!("order:{instance}"));
    holder.map_err(|fault| Refusal::not_run(ResultCode::MalformedRequest, fault.to_string()))
}

/// Records new instances, and returns their number; recorded instances stay unchanged.
///
/// # Errors
///
/// Refuses if a pool is unknown or of another kind, or if the store fails. Nothing is written
/// if a pool does not fit.
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
            .update(&key, |existing: Option<InstanceRecord>| {
                let existing = existing.is_some();
                Ok(if existing {
                    UpdateDecision::Keep(0)
                } else {
                    UpdateDecision::Write(record.clone(), 1)
                })
            })
            .await?;
    }
    Ok(count)
}

/// Takes a token for an order, and marks the instance as draining.
///
/// The token is returned if the instance can't be marked.
///
/// # Errors
///
/// Refuses if another order for the instance is in progress, if the pool's budget is spent, or
/// if the instance can't be drained now.
async fn begin_order(
    node: &Arc<EntryNode>,
    pool: &PoolName,
    instance: &InstanceName,
    holder: &WaveName,
) -> Result<CachedInstance, Refusal> {
    if holds_token(node, pool, instance, holder).await? {
        let detail = format!("an order for instance '{instance}' is under way");
        return Err(Refusal::not_run(ResultCode::InstanceBusy, detail));
    }
    acquire_token(node, pool, instance, holder).await?;
    let marked = mark_draining(node, instance).await;
    if marked.is_err() {
        release_token(node, pool, instance, holder).await;
    }
    marked
}

/// Drains an instance, and keeps it out of service until it is resumed.
///
/// # Errors
///
/// Refuses if the instance is unknown or the drain can't begin.
pub(crate) async fn drain_instance(
    node: &Arc<EntryNode>,
    instance: &InstanceName,
) -> Result<(), Refusal> {
    let pool = pool_of(node, instance)?;
    begin_order(node, &pool, instance, &order_holder(instance)?).await?;
    log_event!(Info, "drain-ordered", instance = instance, pool = pool);
    Ok(())
}

/// Puts an instance that was drained by order back into service.
///
/// # Errors
///
/// Refuses if the instance is unknown or was not drained by order.
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
    release_token(node, &pool, instance, &holder).await;
    log_event!(Info, "instance-resumed", instance = instance, pool = pool);
    Ok(())
}

/// Moves an instance to another pool once it is drained.
///
/// Returns once the drain has begun; a task completes the move with one write of the record.
///
/// # Errors
///
/// Refuses if the instance or a pool is unknown, if the pools differ in kind, or if the drain
/// can't begin.
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
    let cached = begin_order(node, &from, instance, &holder).await?;
    let node = Arc::clone(node);
    let instance = instance.clone();
    let to = to.clone();
    let finish = tokio::spawn(async move {
        await_idle(&node, &cached).await;
        let moved = super::drain_steps::retry_transient(|| async {
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
        release_token(&node, &from, &instance, &holder).await;
        log_event!(
            Info,
            "instance-moved",
            instance = instance,
            from = from,
            to = to,
            moved = moved
        );
    });
    let _detached = finish;
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
