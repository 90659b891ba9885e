//! Datagrams between entries: heartbeats and demand.

use {
    super::HeardMember,
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

/// How often an entry says that it lives.
const HEARTBEAT_PERIOD: Duration = Duration::from_millis(500);
/// Wait after a failed receive.
const RECEIVE_PAUSE: Duration = Duration::from_millis(20);

/// Starts the tasks that send heartbeats and hear notices.
pub(super) fn start(node: &Arc<EntryNode>) {
    tokio::spawn(send_heartbeats(Arc::clone(node)));
    tokio::spawn(hear_notices(Arc::clone(node)));
}

async fn send_heartbeats(node: Arc<EntryNode>) {
    let mut interval = node.timer.interval(HEARTBEAT_PERIOD);
    let mut tables = node.tables.subscribe();
    let mut leaving = node.leaving.subscribe();
    loop {
        let notice = PeerNotice::Heartbeat {
            table_revision: node.table().revision,
            confirmed_age_ms: u64::try_from(node.confirmed_age().as_millis()).unwrap_or(u64::MAX),
            leaving: node.is_leaving(),
            front: node.settings.listen,
        };
        tell_all(&node, notice).await;
        tokio::select! {
            () = interval.tick() => {}
            _ = tables.changed() => {}
            _ = leaving.changed() => {}
        }
    }
}

/// Sends a notice to every peer, once.
pub(crate) async fn tell_all(node: &EntryNode, notice: PeerNotice) {
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
            log_event!(Error, "notice-not-sent", error = fault);
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

async fn hear_notices(node: Arc<EntryNode>) {
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
            Ok(datagram) if datagram.from.name != node.stamp.name => hear(&node, datagram),
            Ok(_) => {}
            Err(fault) => {
                node.metrics.count_peer_fault("foreign-datagram");
                log_event!(Debug, "datagram-foreign", error = fault);
            }
        }
    }
}

fn hear(node: &Arc<EntryNode>, datagram: PeerDatagram) {
    match datagram.notice {
        PeerNotice::Heartbeat {
            table_revision,
            confirmed_age_ms,
            leaving,
            front,
        } => {
            let own = node.table().revision;
            if table_revision == own {
                node.confirm_table(Duration::from_millis(confirmed_age_ms));
            }
            if table_revision > own {
                table::catch_up(node, &datagram.from.name, table_revision);
            }
            node.members.hear(HeardMember {
                stamp: datagram.from,
                table_revision,
                leaving,
                front,
                heard: Instant::now(),
            });
        }
        PeerNotice::Demand {
            pool,
            wanted,
            teams,
        } => {
            if let Some(row) = node.table().pools.get(&pool) {
                let desk = node.desks.desk(&pool, row.kind);
                lock(&desk).note_demand(datagram.from.name, wanted, teams);
            }
        }
    }
}
