//! Serves the calls of other entries, with one task for each connection.

use {
    crate::{fleet, jobs, node::EntryNode, permits},
    dotterelshore_wire::{
        log_event,
        peer_codec::{PeerFault, read_frame, write_frame},
        peer_message::{PeerCall, PeerReply},
    },
    std::{sync::Arc, time::Duration},
    tokio::{
        io::BufStream,
        net::{TcpListener, TcpStream},
    },
};

/// Pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Accepts connections from other entries.
pub(super) async fn accept_peers(node: Arc<EntryNode>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::spawn(answer_peer(Arc::clone(&node), stream));
            }
            Err(_) => tokio::time::sleep(ACCEPT_PAUSE).await,
        }
    }
}

async fn answer_peer(node: Arc<EntryNode>, stream: TcpStream) {
    let _best_effort = stream.set_nodelay(true);
    let mut stream = BufStream::new(stream);
    if let Err(fault) = answer_calls(&node, &mut stream).await
        && !matches!(fault, PeerFault::Connection { .. })
    {
        node.metrics.count_peer_fault("foreign");
        log_event!(Warn, "peer-foreign", error = fault);
    }
}

async fn answer_calls(
    node: &Arc<EntryNode>,
    stream: &mut BufStream<TcpStream>,
) -> Result<(), PeerFault> {
    let hello: PeerCall = read_frame(stream).await?;
    let PeerCall::Hello { cluster, from } = hello else {
        return Err(PeerFault::Foreign {
            detail: "the first call was not a hello".to_owned(),
        });
    };
    if cluster != node.settings.cluster {
        write_frame(stream, &PeerReply::Foreign).await?;
        return Err(PeerFault::Foreign {
            detail: format!("cluster {cluster}, from {from}"),
        });
    }
    write_frame(
        stream,
        &PeerReply::Welcome {
            from: node.stamp.clone(),
        },
    )
    .await?;
    loop {
        let call: PeerCall = read_frame(stream).await?;
        let reply = answer(node, call).await;
        node.metrics
            .count_peer_bytes(write_frame(stream, &reply).await?);
    }
}

async fn answer(node: &Arc<EntryNode>, call: PeerCall) -> PeerReply {
    match call {
        PeerCall::Hello { .. } => PeerReply::Welcome {
            from: node.stamp.clone(),
        },
        PeerCall::TableAfter { revision } => {
            let table = node.table();
            if table.revision > revision {
                PeerReply::Table(Box::new((*table).clone()))
            } else {
                PeerReply::TableCurrent
            }
        }
        PeerCall::DrainCheck { record, version } => {
            let name = record.name.clone();
            if node.fleet.apply_record(version, record) {
                fleet::refresh_targets(node);
            }
            PeerReply::Drained {
                running: node.schedulers.running_on(&name),
            }
        }
        PeerCall::PermitsWanted { to, wants } => {
            PeerReply::PermitsGiven(permits::transfer_permits(node, &to, wants).await)
        }
        PeerCall::Usage => PeerReply::Usage(node.schedulers.usage(node)),
        PeerCall::JobHanded { job } => {
            jobs::accept_handover(node, &job).await;
            PeerReply::Noted
        }
        PeerCall::JobCancelled { job } => {
            node.jobs.notify_cancelled(&job);
            PeerReply::Noted
        }
    }
}
