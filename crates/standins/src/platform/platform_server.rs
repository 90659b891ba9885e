//! HTTP server of the platform stand-in.

use {
    super::{
        fault_mode::FaultMode,
        instance_registry::{AddedInstance, InstanceRegistry, RebootOutcome},
        key_store::{KeyCondition, KeyStore},
    },
    crate::history::{HistoryEvent, HistoryWriter},
    bytes::Bytes,
    dotterelshore_wire::{
        http_client::{HttpClient, request_to},
        http_server::{FullResponse, content_response, json_response, read_body, serve},
        platform_message::InstanceLiveness,
    },
    hyper::{Method, Request, body::Incoming},
    std::{
        collections::BTreeMap,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::{Duration, Instant},
    },
    tokio::{net::TcpListener, sync::watch},
};

/// Maximum size of a stored value, in bytes.
const VALUE_BYTES_MAX: usize = 1024 * 1024;
/// Delay of a response that counts as lost, because its caller times out earlier.
const LOST_RESPONSE_DELAY: Duration = Duration::from_secs(60);
/// Interval between checks for expired leases.
const EXPIRY_PERIOD: Duration = Duration::from_millis(100);
/// Timeout of a control call to an instance.
const CONTROL_TIMEOUT: Duration = Duration::from_secs(5);

/// Options of the platform stand-in.
#[derive(Debug, Clone)]
pub struct PlatformOptions {
    /// Time that an instance is down during a reboot.
    pub reboot_duration: Duration,
    /// Recorder of the events that the platform observes.
    pub history: HistoryWriter,
}

#[derive(Debug)]
struct PlatformState {
    keys: KeyStore,
    registry: InstanceRegistry,
    mode: FaultMode,
    counts: BTreeMap<String, u64>,
}

#[derive(Debug)]
struct PlatformServer {
    state: Mutex<PlatformState>,
    changed: watch::Sender<u64>,
    options: PlatformOptions,
    control_client: HttpClient,
}

/// Serves the platform stand-in until the process ends.
pub async fn run_platform(listener: TcpListener, options: PlatformOptions) {
    let state = PlatformState {
        keys: KeyStore::default(),
        registry: InstanceRegistry::default(),
        mode: FaultMode::default(),
        counts: BTreeMap::new(),
    };
    let server = Arc::new(PlatformServer {
        state: Mutex::new(state),
        changed: watch::Sender::new(0),
        options,
        control_client: HttpClient::new(4, VALUE_BYTES_MAX),
    });
    tokio::spawn(expire_leases(Arc::clone(&server)));
    let (_never_sent, shutdown) = watch::channel(false);
    serve(
        listener,
        move |request| {
            let server = Arc::clone(&server);
            async move { server.respond(request).await }
        },
        shutdown,
    )
    .await;
}

async fn expire_leases(server: Arc<PlatformServer>) {
    loop {
        tokio::time::sleep(EXPIRY_PERIOD).await;
        let before = server.lock().keys.revision();
        server.lock().keys.expire(Instant::now());
        if server.lock().keys.revision() > before {
            server.notify_watchers();
        }
    }
}

impl PlatformServer {
    fn lock(&self) -> MutexGuard<'_, PlatformState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn notify_watchers(&self) {
        self.changed.send_modify(|count| *count += 1);
    }

    async fn respond(self: Arc<Self>, request: Request<Incoming>) -> FullResponse {
        let path = request.uri().path().to_owned();
        if path.starts_with("/control") {
            return self.control_call(&path, request).await;
        }
        let mode = self.lock().mode;
        self.count(request.method(), &path);
        tokio::time::sleep(mode.call_delay()).await;
        if mode.down {
            return content_response(503, "text/plain", "down");
        }
        let writes = request.method() != Method::GET;
        let response = self.dispatch(&path, request).await;
        if writes && mode.lose_fraction > rand::random::<f64>() {
            tokio::time::sleep(LOST_RESPONSE_DELAY).await;
        }
        response
    }

    fn count(&self, method: &Method, path: &str) {
        let group = path
            .trim_start_matches('/')
            .split('/')
            .take(2)
            .collect::<Vec<_>>()
            .join("/");
        *self
            .lock()
            .counts
            .entry(format!("{method} {group}"))
            .or_default() += 1;
    }

    async fn dispatch(self: Arc<Self>, path: &str, request: Request<Incoming>) -> FullResponse {
        let query = QueryPairs::parse(&request);
        match (request.method().clone(), path) {
            (Method::GET, "/kv") => {
                json_response(200, &self.lock().keys.changes(&query.text("prefix"), 0))
            }
            (Method::GET, "/watch") => self.watch_keys(&query).await,
            (Method::GET, "/instances") => self.watch_instances(&query).await,
            (Method::POST, path) if path.ends_with("/reboot") => self.reboot(path, &query),
            (method, path) if path.starts_with("/kv/") => {
                self.key_call(&method, &path[4..], request).await
            }
            _ => content_response(404, "text/plain", "no such path"),
        }
    }

    async fn key_call(
        &self,
        method: &Method,
        key: &str,
        request: Request<Incoming>,
    ) -> FullResponse {
        if method == Method::GET {
            let state = self.lock();
            return match state.keys.get(key) {
                Some((version, value)) => with_etag(version, value.to_owned()),
                None => content_response(404, "text/plain", "no such key"),
            };
        }
        let Some(condition) = parse_condition(&request) else {
            return content_response(428, "text/plain", "send If-Match or If-None-Match");
        };
        let lease = request
            .headers()
            .get("x-lease-ttl-ms")
            .and_then(|value| value.to_str().ok()?.parse().ok());
        let lease = lease.map(Duration::from_millis);
        let value = match read_body(request.into_body(), VALUE_BYTES_MAX).await {
            Ok(body) => String::from_utf8_lossy(&body).into_owned(),
            Err(fault) => return content_response(413, "text/plain", format!("{fault:?}")),
        };
        let value = (method == Method::PUT).then_some(value);
        let written = self.lock().keys.put(key, value.clone(), condition, lease);
        let Some(version) = written else {
            return content_response(412, "text/plain", "version differs");
        };
        self.record_write(key, value.as_deref());
        self.notify_watchers();
        with_etag(version, String::new())
    }

    fn record_write(&self, key: &str, value: Option<&str>) {
        let Some(instance) = key.strip_prefix("instance/") else {
            return;
        };
        let record: serde_json::Value =
            serde_json::from_str(value.unwrap_or_default()).unwrap_or_default();
        let field = |name: &str| {
            record["value"][name]
                .as_str()
                .unwrap_or_default()
                .to_owned()
        };
        let event = HistoryEvent::InstanceWritten {
            instance: instance.to_owned(),
            pool: field("pool"),
            state: field("state"),
        };
        self.options.history.record(event);
    }

    async fn watch_keys(&self, query: &QueryPairs) -> FullResponse {
        let prefix = query.text("prefix");
        let after = query.number("after");
        let deadline = tokio::time::Instant::now() + Duration::from_millis(query.number("wait_ms"));
        let mut changed = self.changed.subscribe();
        loop {
            let list = self.lock().keys.changes(&prefix, after);
            let change_or_timeout = tokio::time::timeout_at(deadline, changed.changed());
            if !list.entries.is_empty() || change_or_timeout.await.is_err() {
                return json_response(200, &list);
            }
        }
    }

    async fn watch_instances(&self, query: &QueryPairs) -> FullResponse {
        let after = query.number("after");
        let deadline = tokio::time::Instant::now() + Duration::from_millis(query.number("wait_ms"));
        let mut changed = self.changed.subscribe();
        loop {
            let list = self.lock().registry.changes(after);
            let change_or_timeout = tokio::time::timeout_at(deadline, changed.changed());
            if !list.instances.is_empty() || change_or_timeout.await.is_err() {
                return json_response(200, &list);
            }
        }
    }

    fn reboot(self: Arc<Self>, path: &str, query: &QueryPairs) -> FullResponse {
        let name = path
            .trim_start_matches("/instances/")
            .trim_end_matches("/reboot")
            .to_owned();
        let outcome = self
            .lock()
            .registry
            .begin_reboot(&name, &query.text("ticket"));
        match outcome {
            RebootOutcome::UnknownInstance => {
                content_response(404, "text/plain", "no such instance")
            }
            RebootOutcome::AlreadyRequested => content_response(202, "text/plain", "known"),
            RebootOutcome::Begin(control) => {
                tokio::spawn(async move { self.run_reboot(name, control).await });
                content_response(202, "text/plain", "begun")
            }
        }
    }

    async fn run_reboot(&self, name: String, control: String) {
        self.options.history.record(HistoryEvent::StopBegun {
            instance: name.clone(),
            planned: true,
        });
        self.send_control(&control, &name, "stop").await;
        self.set_liveness(&name, InstanceLiveness::Down).await;
        tokio::time::sleep(self.options.reboot_duration).await;
        self.send_control(&control, &name, "start").await;
        self.options.history.record(HistoryEvent::Started {
            instance: name.clone(),
        });
        self.set_liveness(&name, InstanceLiveness::Live).await;
    }

    async fn set_liveness(&self, name: &str, liveness: InstanceLiveness) {
        let lag = {
            let mut state = self.lock();
            state.registry.set_liveness(name, liveness);
            Duration::from_millis(state.mode.list_lag_ms)
        };
        tokio::time::sleep(lag).await;
        self.lock().registry.publish(name);
        self.notify_watchers();
    }

    async fn send_control(&self, control: &str, name: &str, verb: &str) {
        if control.is_empty() {
            return;
        }
        let path = format!("/targets/{name}/{verb}");
        let Ok(request) = request_to(Method::POST, control, &path, &[], Bytes::new()) else {
            return;
        };
        if let Err(fault) = self.control_client.send(request, CONTROL_TIMEOUT).await {
            log::warn!("event=control-failed instance={name} verb={verb} error={fault:?}");
        }
    }

    async fn control_call(self: Arc<Self>, path: &str, request: Request<Incoming>) -> FullResponse {
        let method = request.method().clone();
        let body = read_body(request.into_body(), VALUE_BYTES_MAX)
            .await
            .unwrap_or_default();
        match (method, path) {
            (Method::POST, "/control/mode") => match serde_json::from_slice::<FaultMode>(&body) {
                Ok(mode) => {
                    self.lock().mode = mode;
                    json_response(200, &mode)
                }
                Err(error) => content_response(400, "text/plain", error.to_string()),
            },
            (Method::POST, "/control/instances") => {
                match serde_json::from_slice::<Vec<AddedInstance>>(&body) {
                    Ok(added) => {
                        for instance in added {
                            self.lock().registry.add(instance);
                        }
                        self.notify_watchers();
                        content_response(200, "text/plain", "")
                    }
                    Err(error) => content_response(400, "text/plain", error.to_string()),
                }
            }
            (Method::GET, "/control/counts") => json_response(200, &self.lock().counts),
            (Method::POST, path) => self.liveness_call(path),
            _ => content_response(404, "text/plain", "no such path"),
        }
    }

    /// Records and sets an instance's liveness: `/control/instances/{name}/{live|leaving|down|gone}`.
    fn liveness_call(self: Arc<Self>, path: &str) -> FullResponse {
        let Some((name, verb)) = path
            .trim_start_matches("/control/instances/")
            .rsplit_once('/')
        else {
            return content_response(404, "text/plain", "no such path");
        };
        let liveness = match verb {
            "live" => InstanceLiveness::Live,
            "leaving" => InstanceLiveness::Leaving,
            "down" => InstanceLiveness::Down,
            "gone" => InstanceLiveness::Gone,
            _ => return content_response(404, "text/plain", "no such life"),
        };
        match liveness {
            InstanceLiveness::Leaving => self.options.history.record(HistoryEvent::Leaving {
                instance: name.to_owned(),
            }),
            InstanceLiveness::Live => self.options.history.record(HistoryEvent::Started {
                instance: name.to_owned(),
            }),
            InstanceLiveness::Down | InstanceLiveness::Gone => {
                self.options.history.record(HistoryEvent::StopBegun {
                    instance: name.to_owned(),
                    planned: false,
                });
            }
        }
        let name = name.to_owned();
        tokio::spawn(async move { self.set_liveness(&name, liveness).await });
        content_response(200, "text/plain", "")
    }
}

fn parse_condition(request: &Request<Incoming>) -> Option<KeyCondition> {
    if let Some(tag) = request.headers().get("if-match") {
        return Some(KeyCondition::Version(
            tag.to_str().ok()?.trim_matches('"').parse().ok()?,
        ));
    }
    request
        .headers()
        .contains_key("if-none-match")
        .then_some(KeyCondition::Absent)
}

fn with_etag(version: u64, body: String) -> FullResponse {
    let mut response = content_response(200, "application/json", body);
    if let Ok(tag) = format!("\"{version}\"").parse() {
        response.headers_mut().insert("etag", tag);
    }
    response
}

/// The parameters of a URL query; values are not unescaped, which this protocol does not need.
#[derive(Debug)]
struct QueryPairs(BTreeMap<String, String>);

impl QueryPairs {
    fn parse(request: &Request<Incoming>) -> Self {
        let pairs = request
            .uri()
            .query()
            .unwrap_or_default()
            .split('&')
            .filter_map(|pair| pair.split_once('='));
        Self(
            pairs
                .map(|(name, value)| (name.to_owned(), value.to_owned()))
                .collect(),
        )
    }

    fn text(&self, name: &str) -> String {
        self.0.get(name).cloned().unwrap_or_default()
    }

    fn number(&self, name: &str) -> u64 {
        self.0
            .get(name)
            .and_then(|value| value.parse().ok())
            .unwrap_or_default()
    }
}
