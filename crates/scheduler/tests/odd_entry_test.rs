//! Odd entries of other writers in the list of workers, against whole processes on an emulated
//! platform.

mod fixture;

use {
    dotterelshore_emulator::StoreFaultMode,
    dotterelshore_testkit::named_cases,
    fixture::{FleetFixture, SETTLE_TIMEOUT, long_running, run_test, two_steps},
    nix::sys::signal::Signal,
    serde_json::{Value, json},
    std::time::Duration,
};

/// Time in which processes read a change of the list, by far.
const READ_TIME: Duration = Duration::from_secs(1);
/// Size of the platform's largest values in these tests.
const MEGABYTE: usize = 1 << 20;

/// How processes come to read an odd entry.
#[derive(Debug, Clone, Copy, PartialEq)]
enum ReadMode {
    /// As a change that they watch.
    Watch,
    /// In the list that a new owner reads.
    Takeover,
    /// In the list that is read again after the store has dropped its history.
    Compaction,
}

fn nested(levels: usize) -> String {
    format!("{}{}", "[".repeat(levels), "]".repeat(levels))
}

fn nested_objects(levels: usize) -> String {
    format!("{}1{}", r#"{"a":"#.repeat(levels), "}".repeat(levels))
}

/// Returns the entry of the first worker.
fn sound_entry(fixture: &FleetFixture) -> Value {
    let bytes = fixture.fleet.stored_value("servers/i-0");
    serde_json::from_slice(&bytes.expect("an entry")).expect("a sound entry")
}

/// Returns an entry with one field replaced by JSON text, which may be no valid value.
fn with_field(entry: &Value, field: &str, text: &str) -> Vec<u8> {
    let mut entry = entry.clone();
    entry[field] = json!("-replaced-");
    let entry = entry.to_string();
    entry.replace("\"-replaced-\"", text).into_bytes()
}

/// Entries that name no worker because of their depth or their bytes.
fn unreadable_entries(entry: &Value) -> Vec<Vec<u8>> {
    let depths = [100, 200, 10_000, 100_000];
    let mut entries: Vec<Vec<u8>> = Vec::new();
    for depth in depths {
        entries.push(nested(depth).into_bytes());
        entries.push(nested_objects(depth).into_bytes());
        entries.push("[".repeat(depth).into_bytes());
        entries.push(with_field(entry, "address", &nested(depth)));
        entries.push(with_field(entry, "labels", &nested(depth)));
        entries.push(with_field(entry, "capacity", &nested_objects(depth)));
    }
    entries.push(Vec::new());
    entries.push(b"\xff\xfe\x80".to_vec());
    entries.push(vec![0x80; MEGABYTE]);
    entries.push(with_field(
        entry,
        "state",
        &format!("{:?}", "s".repeat(MEGABYTE / 2)),
    ));
    entries
}

/// Entries that name no worker because of their numbers.
fn absurd_numbers(entry: &Value) -> Vec<Vec<u8>> {
    let numbers = [
        "1e400",
        "1e308",
        "18446744073709551616",
        "9223372036854775808",
        "-1",
        "\"NaN\"",
    ];
    let mut entries = Vec::new();
    for number in numbers {
        for field in ["born", "slots", "sequence"] {
            entries.push(with_field(entry, field, number));
        }
        for amount in ["cpu", "mem_mb", "gpu"] {
            let capacity = format!("{{{amount:?}:{number}}}");
            entries.push(with_field(entry, "capacity", &capacity));
        }
    }
    entries
}

/// Entries that name no worker because of their address.
fn absurd_addresses(entry: &Value) -> Vec<Vec<u8>> {
    let addresses = [
        "127.0.0.1:0",
        "127.0.0.1:65536",
        "127.0.0.1:70000",
        "127.0.0.1:4294967296",
        "127.0.0.1:-1",
        "127.0.0.1",
        "127.0.0.1:",
        "127.0.0.1:http",
        ":8080",
        "",
        "127.0.0.1 :80",
        "127.0.0.1\n:80",
        "127.0.0.1:80/path",
        "user@127.0.0.1:80",
        "::1:80",
    ];
    let texts = addresses.iter().map(|text| format!("{text:?}"));
    texts
        .map(|text| with_field(entry, "address", &text))
        .collect()
}

/// Entries that can be read and whose worker never answers or is another one.
fn silent_workers(entry: &Value) -> Vec<Vec<u8>> {
    let later = entry["born"].as_u64().unwrap_or_default() + 1_000;
    let mut entries = vec![
        // The address of a live worker, under another name.
        entry.to_string().into_bytes(),
        with_field(entry, "born", &later.to_string()),
        with_field(entry, "service", "\"nowhere\""),
        with_field(entry, "later", &nested(100_000)),
        with_field(entry, "later", "1e400"),
    ];
    let mut dead = entry.clone();
    dead["address"] = json!("127.0.0.1:1");
    for capacity in [0_u64, 1_000_000_000] {
        dead["capacity"] = json!({"cpu": capacity, "mem_mb": capacity, "gpu": 0});
        entries.push(dead.to_string().into_bytes());
        entries.push(with_field(&dead, "born", &(later + 1).to_string()));
    }
    dead["address"] = json!("[::1]:1");
    entries.push(dead.to_string().into_bytes());
    dead["address"] = json!("no-such-host.invalid:80");
    entries.push(dead.to_string().into_bytes());
    entries
}

/// Asserts that no process or task of it ended.
fn assert_all_run(fixture: &mut FleetFixture) {
    for node in &mut fixture.nodes {
        assert_eq!(node.ended(), None, "{}", node.log());
        let log = node.log();
        assert!(!log.contains("leading-task-failed"), "{log}");
    }
}

/// Asserts that the owner follows the list: while all of it drains, no task starts.
async fn assert_list_is_followed(fixture: &FleetFixture, workers: usize) {
    let keys: Vec<String> = (0..workers)
        .map(|number| format!("servers/i-{number}"))
        .collect();
    let entries = keys.iter().map(|key| fixture.fleet.stored_value(key));
    let entries: Vec<Vec<u8>> = entries.map(|bytes| bytes.expect("an entry")).collect();
    for (key, bytes) in keys.iter().zip(&entries) {
        let entry: Value = serde_json::from_slice(bytes).expect("a sound entry");
        let draining = with_field(&entry, "state", "\"draining\"");
        fixture.fleet.put_malformed(key, &draining);
    }
    tokio::time::sleep(READ_TIME).await;
    let starts = fixture.fleet.starts();
    let job = "00000000000000ff";
    let accepted = fixture.submit(job, &two_steps("works", 2)).await;
    assert_eq!(accepted.status, 200, "{accepted:?}");
    tokio::time::sleep(READ_TIME).await;
    assert_eq!(fixture.fleet.starts(), starts, "no start while all drain");
    for (key, bytes) in keys.iter().zip(&entries) {
        fixture.fleet.put_malformed(key, bytes);
    }
    assert!(fixture.reaches_state(job, "completed").await, "{job}");
}

/// With such entries in the list, processes go on, follow the list, start tasks on sound workers
/// only and serve their callers.
fn odd_entries(entries: fn(&Value) -> Vec<Vec<u8>>, read_mode: ReadMode) {
    run_test(async {
        let mut fixture = FleetFixture::start(2, 2).await;
        let lasting = "00000000000000a0";
        assert_eq!(fixture.submit(lasting, &long_running(2)).await.status, 200);
        let all_run = async || fixture.fleet.running() == 2;
        assert!(fixture.wait_until(SETTLE_TIMEOUT, all_run).await, "before");
        let entries = entries(&sound_entry(&fixture));
        if read_mode == ReadMode::Compaction {
            fixture.fleet.set_store_fault_mode(StoreFaultMode::Busy);
        }
        for (number, bytes) in entries.iter().enumerate() {
            let key = format!("servers/odd-{number}");
            fixture.fleet.put_malformed(&key, bytes);
        }
        match read_mode {
            ReadMode::Watch => {}
            ReadMode::Takeover => {
                for node in &mut fixture.nodes {
                    node.signal(Signal::SIGTERM);
                    node.restart();
                }
            }
            ReadMode::Compaction => {
                fixture.fleet.compact_store();
                fixture.fleet.set_store_fault_mode(StoreFaultMode::None);
            }
        }
        tokio::time::sleep(READ_TIME).await;
        assert_eq!(fixture.fleet.starts(), 2, "the runs go on");
        let job = "00000000000000a1";
        let accepted = fixture.submit(job, &two_steps("works", 3)).await;
        assert_eq!(accepted.status, 200, "{accepted:?}");
        assert!(fixture.reaches_state(job, "completed").await, "{job}");
        assert_list_is_followed(&fixture, 2).await;
        assert_eq!(fixture.fleet.running(), 2, "the runs still go on");
        assert_all_run(&mut fixture);
        fixture.assert_no_violations();
    });
}

named_cases! { odd_entries:
    watched_unreadable_entries_change_nothing(unreadable_entries, ReadMode::Watch);
    unreadable_entries_change_nothing_at_takeover(unreadable_entries, ReadMode::Takeover);
    unreadable_entries_change_nothing_after_compaction(unreadable_entries, ReadMode::Compaction);
    watched_absurd_numbers_change_nothing(absurd_numbers, ReadMode::Watch);
    absurd_numbers_change_nothing_at_takeover(absurd_numbers, ReadMode::Takeover);
    absurd_numbers_change_nothing_after_compaction(absurd_numbers, ReadMode::Compaction);
    watched_absurd_addresses_change_nothing(absurd_addresses, ReadMode::Watch);
    absurd_addresses_change_nothing_at_takeover(absurd_addresses, ReadMode::Takeover);
    absurd_addresses_change_nothing_after_compaction(absurd_addresses, ReadMode::Compaction);
    watched_silent_workers_change_nothing(silent_workers, ReadMode::Watch);
    silent_workers_change_nothing_at_takeover(silent_workers, ReadMode::Takeover);
    silent_workers_change_nothing_after_compaction(silent_workers, ReadMode::Compaction);
}

/// Entries under odd keys name no worker, and the list stays readable page by page.
fn odd_keys(keys: &[&str]) {
    run_test(async {
        let mut fixture = FleetFixture::start(2, 2).await;
        let entry = sound_entry(&fixture).to_string();
        for key in keys {
            fixture.fleet.put_malformed(key, entry.as_bytes());
        }
        for node in &mut fixture.nodes {
            node.signal(Signal::SIGTERM);
            node.restart();
        }
        let job = "00000000000000b1";
        assert_eq!(
            fixture.submit(job, &two_steps("works", 3)).await.status,
            200
        );
        assert!(fixture.reaches_state(job, "completed").await);
        assert_all_run(&mut fixture);
        fixture.assert_no_violations();
    });
}

const ODD_KEYS: [&str; 24] = [
    "servers/",
    "servers/a/b",
    "servers/a b",
    "servers/a&b=c",
    "servers/a%20b",
    "servers/é",
    "servers/\u{1f600}",
    "servers/a\nb",
    "servers/ 1",
    "servers/ 2",
    "servers/ 3",
    "servers/ 4",
    "servers/ 5",
    "servers/ 6",
    "servers/ 7",
    "servers/ 8",
    "servers/ 9",
    "servers/!1",
    "servers/!2",
    "servers/!3",
    "servers/!4",
    "servers/!5",
    "servers/!6",
    "servers/aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa",
];

named_cases! { odd_keys:
    odd_keys_name_no_worker(&ODD_KEYS);
}

/// An odd entry at the key of a live worker ends none of its runs, and lets no task start there
/// until the worker has written its own again.
fn overwritten_entry(odd: impl Fn(&Value) -> Vec<u8>, names_worker: bool) {
    run_test(async {
        let mut fixture = FleetFixture::start(2, 1).await;
        let lasting = "00000000000000c0";
        assert_eq!(fixture.submit(lasting, &long_running(1)).await.status, 200);
        let runs = async || fixture.fleet.running() == 1;
        assert!(fixture.wait_until(SETTLE_TIMEOUT, runs).await, "before");
        let entry = sound_entry(&fixture);
        fixture.fleet.put_malformed("servers/i-0", &odd(&entry));
        tokio::time::sleep(READ_TIME).await;
        let job = "00000000000000c1";
        assert_eq!(
            fixture.submit(job, &two_steps("works", 2)).await.status,
            200
        );
        tokio::time::sleep(3 * READ_TIME).await;
        let starts = if names_worker { 5 } else { 1 };
        assert_eq!(fixture.fleet.starts(), starts, "while it is overwritten");
        assert_eq!(fixture.fleet.running(), 1, "the run goes on");
        let sound = entry.to_string();
        fixture.fleet.put_malformed("servers/i-0", sound.as_bytes());
        assert!(fixture.reaches_state(job, "completed").await);
        assert_eq!(fixture.fleet.starts(), 5, "each task once");
        assert_eq!(fixture.fleet.running(), 1, "the run still goes on");
        assert_all_run(&mut fixture);
        fixture.assert_no_violations();
    });
}

named_cases! { overwritten_entry:
    run_goes_on_under_empty_entry(|_| Vec::new(), false);
    run_goes_on_under_deep_entry(|_| nested(100_000).into_bytes(), false);
    run_goes_on_under_port_out_of_range(|entry| with_field(entry, "address", "\"127.0.0.1:70000\""), false);
    run_goes_on_under_absurd_capacity(|entry| with_field(entry, "capacity", "{\"cpu\":1e308}"), false);
    run_goes_on_under_absurd_start_time(|entry| with_field(entry, "born", "9223372036854775808"), false);
    run_goes_on_under_unknown_state(|entry| with_field(entry, "state", "\"odd\""), false);
    run_goes_on_under_null_start_time(|entry| with_field(entry, "born", "null"), true);
}

/// Processes follow the list on after more changes than one response may hold.
fn many_large_changes(count: usize) {
    run_test(async {
        let mut fixture = FleetFixture::start(1, 1).await;
        let job = "00000000000000d1";
        assert_eq!(
            fixture.submit(job, &two_steps("works", 1)).await.status,
            200
        );
        assert!(fixture.reaches_state(job, "completed").await, "before");
        fixture.nodes[0].signal(Signal::SIGSTOP);
        let bytes = vec![b'x'; MEGABYTE];
        for _ in 0..count {
            fixture.fleet.put_malformed("servers/odd", &bytes);
        }
        fixture.nodes[0].signal(Signal::SIGCONT);
        tokio::time::sleep(READ_TIME).await;
        assert_list_is_followed(&fixture, 1).await;
        let log = fixture.nodes[0].log();
        assert!(log.contains("larger than"), "the response was too large");
        assert_all_run(&mut fixture);
        fixture.assert_no_violations();
    });
}

named_cases! { many_large_changes:
    list_is_followed_after_changes_larger_than_a_response(12);
}
