//! A small deployment: the project's own processes with the command of the deploy file, the store,
//! the workers and the interface to machines.

use {
    crate::{
        http,
        json::{Json, num, object, text},
        record::Record,
        store::{Endpoint, Store, StoreMode},
        workers::{Fleet, TaskKind},
    },
    std::{
        fs::{self, File},
        net::{SocketAddr, TcpListener},
        path::PathBuf,
        process::{Child, Command, Stdio},
        sync::{Arc, Mutex},
        thread,
        time::{Duration, Instant, SystemTime, UNIX_EPOCH},
    },
};

/// The command of the deploy file, from the root of the repository.
const COMMAND: &str = "target/release/dotterelshore-scheduler";
const HOST: &str = "queues.example";
const HOLD_MAX_MS: u64 = 10_000;
/// The zones; entry and worker numbers are dealt round them.
const ZONES: [&str; 3] = ["north", "middle", "south"];

pub struct Entry {
    pub name: String,
    pub endpoint: Arc<Endpoint>,
    front: SocketAddr,
    child: Child,
}

pub struct Deployment {
    pub store: Arc<Store>,
    pub fleet: Arc<Fleet>,
    pub entries: Vec<Entry>,
    pub record: Arc<Record>,
    network: String,
    folder: PathBuf,
    machines: Arc<Mutex<Vec<Json>>>,
    version: u64,
    cloud: Option<SocketAddr>,
}

/// A step of a job, as a client hands it in.
pub struct Step {
    pub count: u64,
    pub kind: TaskKind,
    pub estimate_ms: u64,
    pub anti_affinity: u64,
    /// The zone whose rack holds the data; empty for none.
    pub near: &'static str,
}

/// A tenant and the processor that it may have running.
pub struct Tenant {
    pub name: &'static str,
    pub cap_cpu: u64,
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).expect("a clock").as_millis() as u64
}

fn key_of(tenant: &str) -> String {
    format!("key-of-{tenant}")
}

impl Deployment {
    /// Starts the store and a service of workers, each of 64 cores and 128 GB.
    pub fn start(record: Arc<Record>, folder: PathBuf, workers: usize) -> Self {
        let id = std::process::id();
        let network = format!("127.{}.{}", 64 + id / 250 % 128, id % 250);
        let store = Store::start();
        let fleet = Fleet::new(Arc::clone(&record));
        let deployment = Self {
            store,
            fleet,
            entries: Vec::new(),
            record,
            network,
            folder,
            machines: Arc::default(),
            version: 0,
            cloud: None,
        };
        for number in 0..workers {
            deployment.add_worker(number);
        }
        deployment
    }

    fn ip(&self, number: usize) -> String {
        format!("{}.{number}", self.network)
    }

    /// Starts a worker on a machine; a later one replaces the one before.
    pub fn add_worker(&self, number: usize) {
        let (id, machine) = (format!("x{number}-{}", unix_ms()), format!("m{number}"));
        let (born_ms, room) = (unix_ms(), (64_000, 131_072));
        let ip = self.ip(100 + number);
        let address = self.fleet.start_worker(&id, &ip, room, born_ms, HOLD_MAX_MS);
        let capacity = object(vec![("cpu", num(room.0)), ("mem_mb", num(room.1)), ("gpu", num(0))]);
        let zone = ZONES[number % ZONES.len()];
        let labels = Json::List(vec![text("a"), text(&format!("rack-{zone}"))]);
        let row = object(vec![
            ("service", text("render")),
            ("address", text(&address.to_string())),
            ("zone", text(zone)),
            ("version", text("v1")),
            ("slots", num(8)),
            ("state", text("ready")),
            ("cold_left_ms", num(0)),
            ("sequence", num(1)),
            ("born", num(born_ms)),
            ("machine", text(&machine)),
            ("capacity", capacity.clone()),
            ("labels", labels.clone()),
        ]);
        self.store.put(&format!("servers/{id}"), &row.encode());
        let listed = object(vec![
            ("machine", text(&machine)),
            ("pool", text("render")),
            ("state", text("up")),
            ("zone", text(zone)),
            ("labels", labels),
            ("capacity", capacity),
            ("id", text(&id)),
        ]);
        let mut machines = self.machines.lock().unwrap();
        machines.retain(|known| known.get("machine") != listed.get("machine"));
        machines.push(listed);
        self.record.write(&format!("worker {id} at {address} in {zone}"));
    }

    /// The zone of an entry, and the ids of the workers there.
    pub fn zone_of(&self, entry: usize) -> (&'static str, Vec<String>) {
        let zone = ZONES[entry % ZONES.len()];
        let machines = self.machines.lock().unwrap();
        let there = machines.iter().filter(|machine| machine.get("zone").text() == zone);
        (zone, there.map(|machine| machine.get("id").text().to_owned()).collect())
    }

    /// Writes a configuration with these tenants and one queue.
    pub fn configure(&mut self, tenants: &[Tenant]) {
        self.version += 7;
        let route = object(vec![
            ("name", text("render")),
            ("host", text(HOST)),
            ("prefix", text("/render/")),
            ("service", text("render")),
            ("route_type", text("non_idempotent")),
            ("timeout_ms", num(3_000)),
            ("target_latency_ms", num(600)),
            ("priority", num(0)),
            ("attempts", num(2)),
            ("stretch", Json::Number(1.6)),
        ]);
        let service = object(vec![("name", text("render")), ("rejects_overload", Json::Bool(true))]);
        let tenant_row = |tenant: &Tenant| {
            let cap = vec![("cpu", num(tenant.cap_cpu)), ("mem_mb", num(0)), ("gpu", num(0))];
            object(vec![
                ("name", text(tenant.name)),
                ("api_keys", Json::List(vec![text(&key_of(tenant.name))])),
                ("weight", num(50)),
                ("cap", object(cap)),
            ])
        };
        let config = object(vec![
            ("version", num(self.version)),
            ("routes", Json::List(vec![route])),
            ("services", Json::List(vec![service])),
            ("tenants", Json::List(tenants.iter().map(tenant_row).collect())),
            ("limits", object(vec![("body_bytes", num(262_144))])),
        ]);
        self.store.put("op/config", &config.encode());
        self.record.say(&format!("configuration {} is acknowledged", self.version));
    }

    /// Starts the processes and waits until they answer.
    pub fn start_entries(&mut self, count: usize) {
        let machines = Arc::clone(&self.machines);
        let listener = TcpListener::bind((self.ip(250).as_str(), 0)).expect("a free port");
        let cloud = listener.local_addr().expect("an address");
        self.cloud = Some(cloud);
        http::serve(listener, move |request| {
            let machines = machines.lock().unwrap().clone();
            let list = object(vec![("machines", Json::List(machines))]);
            let (is_list, busy) = (request.path == "/machines", r#"{"reason":"busy"}"#.to_owned());
            Some(if is_list { (200, list.encode()) } else { (409, busy) })
        });
        for number in 0..count {
            let entry = self.start_entry(number, cloud);
            self.entries.push(entry);
        }
        let until = Instant::now() + Duration::from_secs(20);
        for entry in 0..count {
            while self.call(entry, "GET", "0000000000000000", "alpha", "").0 != 410 {
                assert!(Instant::now() < until, "an entry does not answer");
                thread::sleep(Duration::from_millis(50));
            }
        }
        self.record.say("all entries answer");
    }

    fn start_entry(&self, number: usize, cloud: SocketAddr) -> Entry {
        let name = format!("edge-{number}");
        let ip = self.ip(1 + number);
        let endpoint = self.store.open(&self.ip(200 + number));
        let zone = ZONES[number % ZONES.len()];
        let settings = format!(
            r#"node_name = "{name}"
role = "scheduler"
machine_class = "edge"
serves = ["edge"]
ip = "{ip}"
zone = "{zone}"
region = "region"
internal_ports = [7000, 7015]
seeds = []
bootstrap = true
heartbeat_ms = 1500
control_mode = "invoke"
advice = ""
[zones]
north = "region"
middle = "region"
south = "region"
[listen_addrs]
frontend = "{ip}:8340"
readiness = "{ip}:8343"
[limits]
cpu_share = 0.25
cores = 1
memory_mb = 260
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0
[bounds]
stable_window_ms = 3000
ack_ms = 4000
drain_ms = 2000
grace_s = 6
config_apply_ms = 2000
quota_overage = 0.1
recovery_s = 12
hold_max_ms = {HOLD_MAX_MS}
stop_ms = 200
gang_ms = 3000
cancel_ms = 3000
visible_ms = 3000
finish_s = 14
status_s = 120
notice_ms = 4500
move_s = 1.5
upkeep_s = 2
require_fence = false
lease_ms = 3000
[platform]
address = "{store}"
form = "kv"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
ttl_min_ms = 1000
[cloud_api]
address = "{cloud}"
rate_per_s = 64.0
duties = []
duty_per_s = 64.0
"#,
            store = endpoint.address
        );
        let path = self.folder.join(format!("{name}.toml"));
        fs::write(&path, settings).expect("settings can be written");
        let log = File::create(self.folder.join(format!("{name}.log"))).expect("a log");
        let errors = log.try_clone().expect("a log");
        let child = Command::new(COMMAND)
            .env("DOTTERELSHORE_NODE_FILE", &path)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn();
        let child = child.expect("the program of the deploy file is built");
        self.record.write(&format!("{name} is process {} at {ip}", child.id()));
        let front = format!("{ip}:8340").parse().expect("an address");
        Entry { name, endpoint, front, child }
    }

    /// The entry that renewed a lease last: it owns the schedule.
    pub fn owner(&self) -> usize {
        let latest = (0..self.entries.len()).max_by_key(|n| self.entries[*n].endpoint.last_renewal());
        latest.expect("an entry")
    }

    /// Crashes the worker of a machine. The platform removes its entry after three heartbeat
    /// intervals.
    pub fn crash_worker(&self, number: usize) {
        let machine = format!("m{number}");
        let machines = self.machines.lock().unwrap().clone();
        let crashed = machines.iter().find(|known| known.get("machine").text() == machine);
        let id = crashed.expect("a machine").get("id").text().to_owned();
        self.fleet.crash(&id);
        let store = Arc::clone(&self.store);
        thread::spawn(move || {
            thread::sleep(Duration::from_millis(4_500));
            store.remove(&format!("servers/{id}"));
        });
    }

    /// Stops an entry as the platform does, and starts it again when it has ended.
    pub fn restart_entry(&mut self, number: usize) {
        let id = self.entries[number].child.id();
        let signalled = Command::new("sh").args(["-c", &format!("kill -TERM {id}")]).status();
        assert!(signalled.is_ok_and(|status| status.success()), "a signal to process {id}");
        let _status = self.entries[number].child.wait();
        let cloud = self.cloud.expect("entries were started");
        let ended = self.start_entry(number, cloud);
        self.entries[number] = ended;
    }

    /// Sets the mode of the store for all entries.
    pub fn set_store_mode(&self, mode: StoreMode) {
        self.entries.iter().for_each(|entry| entry.endpoint.set_mode(mode));
    }

    /// Makes one client's call; the status is 0 if no answer came.
    pub fn call(
        &self,
        entry: usize,
        method: &str,
        path: &str,
        tenant: &str,
        body: &str,
    ) -> (u16, String) {
        let token = format!("Token {}", key_of(tenant));
        let headers = [
            ("host", HOST),
            ("authorization", token.as_str()),
            ("content-type", "application/json"),
            ("x-deadline-ms", "3000"),
        ];
        let path = format!("/render/{path}");
        let (front, wait) = (self.entries[entry].front, Duration::from_secs(3));
        let answer = http::call(front, method, &path, &headers, body, wait);
        let (status, answer) = answer.unwrap_or((0, String::new()));
        let name = &self.entries[entry].name;
        self.record.write(&format!("{tenant} sends {method} {path} to {name}: {status} {answer}"));
        (status, answer)
    }

    /// Hands in a job, with retries at other entries, and returns whether it was accepted.
    pub fn submit(&self, first: usize, job: &str, tenant: &str, steps: &[Step]) -> bool {
        let spec = format!("work of {job}");
        let row = |step: &Step| {
            let mut fields = vec![
                ("count", num(step.count)),
                ("cpu", num(step.kind.cpu)),
                ("mem_mb", num(step.kind.mem_mb)),
                ("estimate_ms", num(step.estimate_ms)),
            ];
            if step.anti_affinity > 0 {
                fields.push(("anti_affinity", num(step.anti_affinity)));
            }
            let rack = format!("rack-{}", step.near);
            if !step.near.is_empty() {
                fields.push(("affinity", text(&rack)));
            }
            if step.kind.speculative {
                fields.push(("speculative", Json::Bool(true)));
            }
            if step.kind.gang.is_some() {
                fields.push(("gang", Json::Bool(true)));
            }
            if step.kind.takes.is_none() {
                fields.push(("long_running", Json::Bool(true)));
            }
            object(fields)
        };
        for (number, step) in steps.iter().enumerate() {
            self.fleet.add_kind(&format!("{job}.{number}"), step.kind.clone());
        }
        let rows = Json::List(steps.iter().map(row).collect());
        let body = object(vec![("task_spec", text(&spec)), ("steps", rows)]).encode();
        for attempt in 0..5 {
            let entry = (first + attempt) % self.entries.len();
            if self.call(entry, "POST", job, tenant, &body).0 == 200 {
                return true;
            }
            thread::sleep(Duration::from_millis(300));
        }
        false
    }

    /// How many of these jobs have not begun a task.
    pub fn waiting(&self, jobs: &[String]) -> usize {
        self.fleet.observe(|observed| {
            let begun = |job: &String| {
                let mut after = observed.starts.range(format!("{job}.")..);
                after.next().is_some_and(|(task, _)| task.starts_with(job.as_str()))
            };
            jobs.iter().filter(|job| !begun(job)).count()
        })
    }

    /// The number of waiting jobs of the queue as an entry gives it.
    pub fn pending(&self, entry: usize, tenant: &str) -> Option<u64> {
        let (status, body) = self.call(entry, "GET", "", tenant, "");
        let body = Json::parse(&body).filter(|_| status == 200)?;
        body.get("pending").number()
    }

    /// A job's state as an entry gives it.
    pub fn state(&self, entry: usize, job: &str, tenant: &str) -> String {
        let (status, body) = self.call(entry, "GET", job, tenant, "");
        let state = Json::parse(&body).map_or(String::new(), |b| b.get("state").text().to_owned());
        if status == 200 { state } else { status.to_string() }
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        for entry in &mut self.entries {
            let _ended = entry.child.kill();
            let _status = entry.child.wait();
        }
        self.record.flush();
    }
}

/// A task that takes this long.
pub fn kind(tenant: &str, cpu: u64, takes_ms: u64) -> TaskKind {
    TaskKind {
        cpu,
        mem_mb: cpu / 16,
        takes: Some(Duration::from_millis(takes_ms)),
        tenant: tenant.to_owned(),
        speculative: false,
        gang: None,
    }
}
