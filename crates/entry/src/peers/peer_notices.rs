//! Datagrams between entries: heartbeats and demand reports.

use {
    super::MemberHeartbeat,
    crate::{
        node::{EntryNode, lock},
        table,
    },
    dotterelshore_wire::{
        log_event,
        peer_codec::{DATAGRAM_BYTES_MAX, decode_datagram, encode_datagram},
        peer_message::{PeerDatagram, PeerNotice},
    },
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Interval between heartbeats.
const HEARTBEAT_PERIOD: Duration = Duration::from_millis(500);
/// Pause after a failed receive.
const RECEIVE_PAUSE: Duration = Duration::from_millis(20);

/// Starts the tasks that send heartbeats and receive notices.
pub(super) fn start(node: &Arc<EntryNode>) {
    tokio::spawn(send_heartbeats(Arc::clone(node)));
    tokio::spawn(receive_notices(Arc::clone(node)));
}

async fn send_heartbeats(node: Arc<EntryNode>) {
    let mut interval = node.timer.interval(HEARTBEAT_PERIOD);
    let mut tables = node.tables.subscribe();
    let mut shutting_down = node.shutting_down.subscribe();
    loop {
        let notice = PeerNotice::Heartbeat {
            table_revision: node.table().revision,
            confirmed_age_ms: u64::try_from(node.confirmed_age().as_millis()).unwrap_or(u64::MAX),
            leaving: node.is_shutting_down(),
            front: node.settings.listen,
        };
        broadcast(&node, notice).await;
        tokio::select! {
            () = interval.tick() => {}
            _ = tables.changed() => {}
            _ = shutting_down.changed() => {}
        }
    }
}

/// Sends a notice to every peer once; lost datagrams are not resent.
pub(crate) async fn broadcast(node: &EntryNode, notice: PeerNotice) {
    let Some(socket) = node.peers.socket.get() else {
        return;
    };
    let datagram = PeerDatagram {
        cluster: node.settings.cluster,
        from: node.stamp.clone(),
        notice,
    };
    let bytes = match encode_datagram(&datagram) {
        Ok(bytes) => bytes,
        Err(fault) => {
            log_event!(Error, "notice-send-failed", error = fault);
            return;
        }
    };
    for address in node.peers.addresses() {
        node.metrics.count_peer_bytes(bytes.len());
        if socket.send_to(&bytes, address).await.is_err() {
            node.metrics.count_peer_fault("datagram");
        }
    }
}

async fn receive_notices(node: Arc<EntryNode>) {
    let Some(socket) = node.peers.socket.get() else {
        return;
    };
    let mut bytes = vec![0; DATAGRAM_BYTES_MAX + 1];
    loop {
        let Ok((length, _)) = socket.recv_from(&mut bytes).await else {
            tokio::time::sleep(RECEIVE_PAUSE).await;
            continue;
        };
        match decode_datagram(&bytes[..length], node.settings.cluster) {
            Ok(datagram) if datagram.from.name != node.stamp.name => apply_notice(&node, datagram),
            Ok(_) => {}
            Err(fault) => {
                node.metrics.count_peer_fault("foreign-datagram");
                log_event!(Debug, "datagram-foreign", error = fault);
            }
        }
    }
}

fn apply_notice(node: &Arc<EntryNode>, datagram: PeerDatagram) {
    match datagram.notice {
        PeerNotice::Heartbeat {
            table_revision,
            confirmed_age_ms,
            leaving,
            front,
        } => {
            let own_revision = node.table().revision;
            if table_revision == own_revision {
                node.confirm_table(Duration::from_millis(confirmed_age_ms));
            }
            if table_revision > own_revision {
                table::fetch_from_peer(node, &datagram.from.name, table_revision);
            }
            node.members.record_heartbeat(MemberHeartbeat {
                stamp: datagram.from,
                table_revision,
                leaving,
                front,
                received_at: Instant::now(),
            });
        }
        PeerNotice::Demand {
            pool,
            wanted,
            teams,
        } => {
            if let Some(row) = node.table().pools.get(&pool) {
                let scheduler = node.schedulers.get_or_create(&pool, row.kind);
                lock(&scheduler).record_demand(datagram.from.name, wanted, teams);
            }
        }
    }
}
