//! A stand-in for the platform's store. Each entry reaches it through an endpoint of its own, so
//! that the store can be down for one entry or for all.

use {
    crate::{
        http::{Request, serve},
        json::{Json, num, object, text},
    },
    std::{
        collections::BTreeMap,
        net::{SocketAddr, TcpListener},
        sync::{Arc, Condvar, Mutex},
        thread,
        time::{Duration, Instant},
    },
};

#[derive(Clone, Copy, PartialEq)]
pub enum StoreMode {
    Up,
    /// Every call is answered with 503 and nothing is done.
    Busy,
    /// Nothing is answered or done, as behind a partition.
    Silent,
}

#[derive(Clone)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

struct Lease {
    ttl: Duration,
    ends: Instant,
}

#[derive(Default)]
struct Data {
    revision: u64,
    items: BTreeMap<String, Item>,
    changes: Vec<(u64, String, Option<Item>)>,
    leases: BTreeMap<u64, Lease>,
}

pub struct Endpoint {
    pub address: SocketAddr,
    mode: Mutex<StoreMode>,
    last_renewal: Mutex<Option<Instant>>,
}

pub struct Store {
    data: Mutex<Data>,
    changed: Condvar,
}

impl Data {
    fn set(&mut self, key: &str, value: String, lease: u64) {
        let created = self.items.get(key).map_or(self.revision, |item| item.created);
        let item = Item { value, revision: self.revision, created, lease };
        self.items.insert(key.to_owned(), item.clone());
        self.changes.push((self.revision, key.to_owned(), Some(item)));
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.changes.push((self.revision, key.to_owned(), None));
        }
    }

    fn end_lease(&mut self, number: u64) -> bool {
        let existed = self.leases.remove(&number).is_some();
        let held = self.items.iter().filter(|(_, item)| item.lease == number && number != 0);
        let keys: Vec<String> = held.map(|(key, _)| key.clone()).collect();
        if !keys.is_empty() {
            self.revision += 1;
        }
        for key in keys {
            self.remove(&key);
        }
        existed
    }

    fn transact(&mut self, body: &Json) -> (u16, String) {
        let (expected, writes) = (body.get("expected").list(), body.get("writes").list());
        let deletes = body.get("deletes").list();
        if expected.len() + writes.len() + deletes.len() > 32 {
            return (400, "{}".to_owned());
        }
        let holds = |row: &Json| {
            let found = self.items.get(row.get("key").text());
            row.get("revision").number() == Some(found.map_or(0, |item| item.revision))
        };
        if !expected.iter().all(holds) {
            let present = expected.iter().filter_map(|row| {
                let key = row.get("key").text();
                self.items.get(key).map(|item| item_json(key, item))
            });
            let items = Json::List(present.collect());
            return (412, object(vec![("items", items)]).encode());
        }
        let lease_of = |row: &Json| row.get("lease").number().unwrap_or(0);
        let known = |lease: u64| lease == 0 || self.leases.contains_key(&lease);
        if !writes.iter().all(|row| known(lease_of(row))) {
            return (404, "{}".to_owned());
        }
        self.revision += 1;
        for row in writes {
            self.set(row.get("key").text(), row.get("value").text().to_owned(), lease_of(row));
        }
        for key in deletes {
            self.remove(key.text());
        }
        (200, object(vec![("revision", num(self.revision))]).encode())
    }

    /// Answers a watch; `None` while there is no change.
    fn watch(&self, prefix: &str, after: u64) -> Option<String> {
        let changes = self.changes.iter();
        let matching = changes.filter(|(at, key, _)| *at > after && key.starts_with(prefix));
        let events: Vec<Json> = matching
            .map(|(at, key, item)| match item {
                Some(item) => item_json(key, item),
                None => object(vec![
                    ("key", text(key)),
                    ("revision", num(*at)),
                    ("removed", Json::Bool(true)),
                ]),
            })
            .collect();
        (!events.is_empty()).then(|| self.events(events))
    }

    fn events(&self, events: Vec<Json>) -> String {
        let revision = num(self.revision);
        object(vec![("events", Json::List(events)), ("store_revision", revision)]).encode()
    }
}

fn item_json(key: &str, item: &Item) -> Json {
    object(vec![
        ("key", text(key)),
        ("value", text(&item.value)),
        ("revision", num(item.revision)),
        ("create_rev", num(item.created)),
        ("lease", num(item.lease)),
    ])
}

impl Endpoint {
    pub fn set_mode(&self, mode: StoreMode) {
        *self.mode.lock().unwrap() = mode;
    }

    fn mode(&self) -> StoreMode {
        *self.mode.lock().unwrap()
    }

    /// When the entry last renewed a lease here, as the owner of the schedule does all the time.
    pub fn last_renewal(&self) -> Option<Instant> {
        *self.last_renewal.lock().unwrap()
    }
}

impl Store {
    pub fn start() -> Arc<Self> {
        let store = Arc::new(Self { data: Mutex::default(), changed: Condvar::new() });
        let expiring = Arc::clone(&store);
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(10));
                let mut data = expiring.data.lock().unwrap();
                let now = Instant::now();
                let ended = data.leases.iter().filter(|(_, lease)| lease.ends <= now);
                let ended: Vec<u64> = ended.map(|(number, _)| *number).collect();
                for number in ended {
                    data.end_lease(number);
                    expiring.changed.notify_all();
                }
            }
        });
        store
    }

    /// Opens an endpoint on a loopback address.
    pub fn open(self: &Arc<Self>, ip: &str) -> Arc<Endpoint> {
        let listener = TcpListener::bind((ip, 0)).expect("a free port");
        let endpoint = Arc::new(Endpoint {
            address: listener.local_addr().expect("an address"),
            mode: Mutex::new(StoreMode::Up),
            last_renewal: Mutex::new(None),
        });
        let (store, own) = (Arc::clone(self), Arc::clone(&endpoint));
        serve(listener, move |request| store.answer(&own, request));
        endpoint
    }

    /// Lets all leases run this much longer, as after an outage in which they paused.
    pub fn extend_leases(&self, by: Duration) {
        let mut data = self.data.lock().unwrap();
        data.leases.values_mut().for_each(|lease| lease.ends += by);
    }

    /// Writes a key, as operators and workers do.
    pub fn put(&self, key: &str, value: &str) {
        let mut data = self.data.lock().unwrap();
        data.revision += 1;
        data.set(key, base64(value.as_bytes()), 0);
        self.changed.notify_all();
    }

    /// Removes a key, as the platform does with the entry of a worker that is silent.
    pub fn remove(&self, key: &str) {
        let mut data = self.data.lock().unwrap();
        data.revision += 1;
        data.remove(key);
        self.changed.notify_all();
    }

    fn answer(&self, endpoint: &Endpoint, request: &Request) -> Option<(u16, String)> {
        match endpoint.mode() {
            StoreMode::Up => {}
            StoreMode::Busy => return Some((503, "{}".to_owned())),
            StoreMode::Silent => return None,
        }
        thread::sleep(Duration::from_millis(2));
        let answer = self.execute(endpoint, request);
        (endpoint.mode() != StoreMode::Silent).then_some(answer)
    }

    fn execute(&self, endpoint: &Endpoint, request: &Request) -> (u16, String) {
        let mut data = self.data.lock().unwrap();
        let path = request.path.as_str();
        match (request.method.as_str(), path) {
            ("GET", "/kv-key") => {
                let key = request.query("key");
                let Some(item) = data.items.get(key) else { return (404, "{}".to_owned()) };
                let mut body = item_json(key, item);
                if let Json::Object(fields) = &mut body {
                    fields.push(("store_revision".to_owned(), num(data.revision)));
                }
                (200, body.encode())
            }
            ("GET", "/kv-range") => {
                let (prefix, after) = (request.query("prefix"), request.query("after"));
                let rows = data.items.iter();
                let rows = rows.filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after);
                let mut rows: Vec<Json> = rows.map(|(key, item)| item_json(key, item)).collect();
                let truncated = Json::Bool(rows.len() > 500);
                rows.truncate(500);
                let revision = num(data.revision);
                let body = vec![
                    ("items", Json::List(rows)),
                    ("truncated", truncated),
                    ("store_revision", revision),
                ];
                (200, object(body).encode())
            }
            ("GET", "/kv-watch") => {
                let wait = request.query("wait_ms").parse().unwrap_or(0);
                let until = Instant::now() + Duration::from_millis(wait);
                let after = request.query("after").parse().unwrap_or(0);
                loop {
                    if let Some(body) = data.watch(request.query("prefix"), after) {
                        return (200, body);
                    }
                    if endpoint.mode() != StoreMode::Up {
                        return (503, "{}".to_owned());
                    }
                    let now = Instant::now();
                    if now >= until {
                        return (200, data.events(Vec::new()));
                    }
                    let pause = (until - now).min(Duration::from_millis(50));
                    data = self.changed.wait_timeout(data, pause).unwrap().0;
                }
            }
            ("POST", "/kv-lease") => {
                let body = Json::parse(&request.body).unwrap_or(Json::Null);
                let ttl_ms = body.get("ttl_ms").number().unwrap_or(1_000).clamp(1_000, 600_000);
                data.revision += 1;
                let (number, ttl) = (data.revision, Duration::from_millis(ttl_ms));
                data.leases.insert(number, Lease { ttl, ends: Instant::now() + ttl });
                (200, object(vec![("lease", num(number)), ("ttl_ms", num(ttl_ms))]).encode())
            }
            ("POST", "/kv-txn") => {
                let body = Json::parse(&request.body).unwrap_or(Json::Null);
                let answer = data.transact(&body);
                self.changed.notify_all();
                answer
            }
            ("POST", _) if path.starts_with("/kv-keep/") => {
                let number = path["/kv-keep/".len()..].parse().unwrap_or(0);
                let Some(lease) = data.leases.get_mut(&number) else {
                    return (404, "{}".to_owned());
                };
                lease.ends = Instant::now() + lease.ttl;
                *endpoint.last_renewal.lock().unwrap() = Some(Instant::now());
                (200, "{}".to_owned())
            }
            ("DELETE", _) if path.starts_with("/kv-lease-end/") => {
                let number = path["/kv-lease-end/".len()..].parse().unwrap_or(0);
                let existed = data.end_lease(number);
                self.changed.notify_all();
                (if existed { 200 } else { 404 }, "{}".to_owned())
            }
            _ => (400, "{}".to_owned()),
        }
    }
}

fn base64(bytes: &[u8]) -> String {
    const LETTERS: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let at = |index: usize| u32::from(chunk.get(index).copied().unwrap_or(0));
        let bits = at(0) << 16 | at(1) << 8 | at(2);
        for place in 0..4 {
            if place <= chunk.len() {
                out.push(LETTERS[(bits >> (18 - 6 * place) & 63) as usize] as char);
            } else {
                out.push('=');
            }
        }
    }
    out
}
