//! Tests of the `explain` and `check-settings` subcommands, and of a log that nobody reads.

use {
    dotterelshore_testkit::named_cases,
    std::{fs, process::Command},
};

const FIRST: &str = "\
at_ms=1000 level=info event=started node=e0 data_centre=north incarnation=1
at_ms=20000 level=info event=job-accepted job=00aa queue=keyed revision=9 tasks=2
at_ms=20100 level=info event=job-accepted job=00bb queue=keyed revision=10 tasks=2
at_ms=20400 level=warn event=store-lost prefix=op/ error=\"gone away\"
";
const SECOND: &str = "\
at_ms=20010 level=info event=start-refused task=00aa.0.0.0 run=1 worker=w reason=NoRoom
event=log-lines-dropped count=3
at_ms=21000 level=info event=job-ended job=00aa state=Completed
at_ms=90000 level=info event=ownership-won token=3 term=2
";

/// The timeline of an id contains these words in this order.
fn timeline(id: &str, json: bool, success: bool, words: &[&str]) {
    let folder = tempfile::tempdir().expect("a folder");
    let logs = [("e0.log", FIRST), ("e1.log", SECOND)].map(|(name, text)| {
        let path = folder.path().join(name);
        fs::write(&path, text).expect("written");
        path
    });
    let mut command = Command::new(env!("CARGO_BIN_EXE_dotterelshore-scheduler"));
    command.arg("explain").arg(id).args(logs);
    if json {
        command.arg("--json");
    }
    let output = command.output().expect("the program runs");
    assert_eq!(output.status.success(), success);
    let mut text = String::from_utf8_lossy(&output.stdout).into_owned();
    text.push_str(&String::from_utf8_lossy(&output.stderr));
    let mut rest = text.as_str();
    for word in words {
        let at = rest.find(word);
        let at = at.unwrap_or_else(|| panic!("'{word}' is not next in:\n{text}"));
        rest = &rest[at + word.len()..];
    }
    assert!(!text.contains("00bb"), "another job's lines");
}

named_cases! { timeline:
    timeline_merges_logs_by_time("00aa", false, true, &["job-accepted", "start-refused", "store-lost", "job-ended"]);
    timeline_omits_distant_context("00aa", false, true, &["* ", "0 ms", "e0.log", "job-accepted"]);
    timeline_is_printed_as_json("00aa", true, true, &["\"at-ms\":20000", "\"own\":true", "\"own\":false"]);
    timeline_of_unknown_id_fails("00cc", false, false, &["no line names '00cc'", "3 lines"]);
}

/// `check-settings` lists every fault of a settings file and fails if there is one.
fn settings(text: &str, success: bool, words: &[&str]) {
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("settings.toml");
    fs::write(&path, text).expect("written");
    let output = Command::new(env!("CARGO_BIN_EXE_dotterelshore-scheduler"))
        .arg("check-settings")
        .arg(&path)
        .output()
        .expect("the program runs");
    assert_eq!(output.status.success(), success);
    let text = String::from_utf8_lossy(&output.stderr).into_owned()
        + &String::from_utf8_lossy(&output.stdout);
    for word in words {
        assert!(text.contains(word), "{text}");
    }
}

const VALID_SETTINGS: &str =
    "node_name = 'e0'\nip = '127.0.0.1'\nzone = 'north'\ninternal_ports = [1, 5]
[listen_addrs]\nfrontend = '127.0.0.1:1'\nreadiness = '127.0.0.1:2'\n[platform]\naddress = 'a:1'\n";

named_cases! { settings:
    valid_settings_pass(VALID_SETTINGS, true, &["valid settings for e0"]);
    two_faults_are_both_listed(&VALID_SETTINGS.replace("'north'", "''").replace("[1, 5]", "[]"), false, &["zone", "internal_ports"]);
    malformed_toml_fails("zone = ", false, &["TOML"]);
}

/// A log reader that stops reading delays no answer, and dropped lines are counted.
fn stalled_log_reader(calls: usize) {
    let runtime = tokio::runtime::Runtime::new().expect("a runtime");
    runtime.block_on(async {
        let fleet = dotterelshore_emulator::EmulatedFleet::start(1).await;
        let folder = tempfile::tempdir().expect("a folder");
        let program = std::path::Path::new(env!("CARGO_BIN_EXE_dotterelshore-scheduler"));
        let node = dotterelshore_emulator::SchedulerProcess::start_with_stalled_log(
            &fleet,
            program,
            folder.path(),
            "e0",
        );
        for _ in 0..100 {
            if fleet.state(&node, "0000000000000000").await.status == 410 {
                break;
            }
            tokio::time::sleep(std::time::Duration::from_millis(50)).await;
        }
        for number in 0..calls {
            let response = fleet.state(&node, &format!("{number:016x}")).await;
            assert_eq!(response.status, 410, "call {number}");
        }
        let http = dotterelshore_wire::http_client::HttpClient::new(1, 1 << 20);
        let request = dotterelshore_wire::http_client::request_to(
            hyper::Method::GET,
            node.metrics(),
            "/metrics",
            &[],
            bytes::Bytes::new(),
        );
        let page = http
            .send(
                request.expect("a request"),
                std::time::Duration::from_secs(2),
            )
            .await;
        let text = String::from_utf8_lossy(&page.expect("the page").body).into_owned();
        let line = text
            .lines()
            .find(|line| line.starts_with("dotterelshore_log_lines_dropped "));
        let dropped = line.and_then(|line| line.rsplit(' ').next()?.parse::<u64>().ok());
        assert!(dropped.is_some_and(|dropped| dropped > 0), "{line:?}");
    });
}

named_cases! { stalled_log_reader:
    stalled_log_reader_delays_no_refusal(4_000);
}
