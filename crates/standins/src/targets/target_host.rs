//! Host of several targets and their control interface, in one process.

use {
    super::target_server::{TargetBehaviour, TargetKind, TargetServer},
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

/// Maximum size of a control request's body, in bytes.
const CONTROL_BYTES_MAX: usize = 64 * 1024;
/// Length of a listener's accept queue.
const BACKLOG: u32 = 128;

/// Options of a target host.
#[derive(Debug, Clone)]
pub struct HostOptions {
    /// Kind of the hosted targets.
    pub kind: TargetKind,
    /// Name and listening address of each target.
    pub targets: Vec<(String, SocketAddr)>,
    /// Slots of each executor, or concurrent tasks of each worker.
    pub slots: u32,
    /// Recorder of the events that the targets observe.
    pub history: HistoryWriter,
}

#[derive(Debug)]
struct HostedTarget {
    server: Arc<TargetServer>,
    address: SocketAddr,
}

type HostedTargets = FastMap<String, HostedTarget>;

/// Serves the targets and their control interface until the process ends.
///
/// # Errors
///
/// Returns the I/O error if a target's address can't be bound.
pub async fn run_host(control: TcpListener, options: HostOptions) -> std::io::Result<()> {
    let mut targets = HostedTargets::default();
    for (name, address) in options.targets {
        let server = TargetServer::new(
            name.clone(),
            options.kind,
            options.slots,
            options.history.clone(),
        );
        server.start(listen(address)?);
        targets.insert(name, HostedTarget { server, address });
    }
    let targets = Arc::new(targets);
    let (_never_sent, shutdown) = watch::channel(false);
    serve(
        control,
        move |request| {
            let targets = Arc::clone(&targets);
            async move { control_call(&targets, request).await }
        },
        shutdown,
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

/// Responds to `/targets/{name}/{stop|start|behave}`.
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
            target.server.stop();
            content_response(200, "text/plain", "")
        }
        "start" if !target.server.is_stopped() => content_response(200, "text/plain", "it runs"),
        "start" => match listen(target.address) {
            Ok(listener) => {
                target.server.start(listener);
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
                    target.server.set_behaviour(behaviour);
                    json_response(200, &behaviour)
                }
                Err(error) => content_response(400, "text/plain", error.to_string()),
            }
        }
        _ => content_response(404, "text/plain", "no such verb"),
    }
}
