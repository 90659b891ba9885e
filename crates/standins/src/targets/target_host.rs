//! A process that hosts several targets, and their control.

use {
    super::target_front::{TargetBehaviour, TargetFront, TargetKind},
    crate::history::HistoryWriter,
    dotterelshore_domain::collections::FastMap,
    dotterelshore_wire::http_server::{
        FullResponse, content_response, json_response, read_body, serve,
    },
    hyper::{Request, body::Incoming},
    std::{net::SocketAddr, sync::Arc},
    tokio::{
        net::{TcpListener, TcpSocket},
        sync::watch,
    },
};

/// Largest control body, in bytes.
const CONTROL_BYTES_MAX: usize = 64 * 1024;
/// Connections waiting to be accepted.
const BACKLOG: u32 = 128;

/// Options of a host.
#[derive(Debug, Clone)]
pub struct HostOptions {
    /// What its targets are.
    pub kind: TargetKind,
    /// Their names and where each listens.
    pub targets: Vec<(String, SocketAddr)>,
    /// Slots, or tasks at once, of each.
    pub slots: u32,
    /// Where events are written.
    pub history: HistoryWriter,
}

#[derive(Debug)]
struct HostedTarget {
    front: Arc<TargetFront>,
    address: SocketAddr,
}

type HostedTargets = FastMap<String, HostedTarget>;

/// Serves the targets and their control until the process ends.
///
/// # Errors
///
/// An address that can't be listened on.
pub async fn run_host(control: TcpListener, options: HostOptions) -> std::io::Result<()> {
    let mut targets = HostedTargets::default();
    for (name, address) in options.targets {
        let front = TargetFront::new(
            name.clone(),
            options.kind,
            options.slots,
            options.history.clone(),
        );
        front.start(listen(address)?);
        targets.insert(name, HostedTarget { front, address });
    }
    let targets = Arc::new(targets);
    let (_stay, leaving) = watch::channel(false);
    serve(
        control,
        move |request| {
            let targets = Arc::clone(&targets);
            async move { control_call(&targets, request).await }
        },
        leaving,
    )
    .await;
    Ok(())
}

fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// `/targets/{name}/{stop|start|behave}`.
async fn control_call(targets: &HostedTargets, request: Request<Incoming>) -> FullResponse {
    let path = request.uri().path().to_owned();
    let parts: Vec<&str> = path.trim_start_matches('/').split('/').collect();
    let ["targets", name, verb] = parts[..] else {
        return content_response(404, "text/plain", "no such path");
    };
    let Some(target) = targets.get(name) else {
        return content_response(404, "text/plain", "no such target");
    };
    match verb {
        "stop" => {
            target.front.stop();
            content_response(200, "text/plain", "")
        }
        "start" if !target.front.is_stopped() => content_response(200, "text/plain", "it runs"),
        "start" => match listen(target.address) {
            Ok(listener) => {
                target.front.start(listener);
                content_response(200, "text/plain", "")
            }
            Err(error) => content_response(500, "text/plain", error.to_string()),
        },
        "behave" => {
            let body = read_body(request.into_body(), CONTROL_BYTES_MAX)
                .await
                .unwrap_or_default();
            match serde_json::from_slice::<TargetBehaviour>(&body) {
                Ok(behaviour) => {
                    target.front.behave(behaviour);
                    json_response(200, &behaviour)
                }
                Err(error) => content_response(400, "text/plain", error.to_string()),
            }
        }
        _ => content_response(404, "text/plain", "no such verb"),
    }
}
