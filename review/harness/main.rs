//! Runs one case of the review: `harness CASE FOLDER`. Exits with 1 if the rule was broken, 0 if it
//! held, and 2 if the case could not run. With TROUBLE=0 the disruption is left out.

mod cases;
mod entries;
mod http;
mod json;
mod record;
mod store;
mod workers;

use std::{path::PathBuf, process::exit, sync::Arc};

fn main() {
    let words: Vec<String> = std::env::args().collect();
    let [_, case, folder] = words.as_slice() else {
        eprintln!("usage: harness CASE FOLDER");
        exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let folder = PathBuf::from(folder);
    let scratch = std::env::temp_dir().join(format!("review-{}", std::process::id()));
    let created = std::fs::create_dir_all(&scratch);
    let record = created.and_then(|()| record::Record::create(&folder.join("record.txt")));
    let record = match record {
        Ok(record) => Arc::new(record),
        Err(error) => {
            eprintln!("no record or temporary folder: {error}");
            exit(2);
        }
    };
    record.say(&format!("case {case}, trouble {trouble}"));
    let run = || cases::run(case, trouble, &record, &scratch);
    let verdict = std::panic::catch_unwind(std::panic::AssertUnwindSafe(run));
    if std::env::var("KEEP_LOGS").is_err() {
        let _best_effort = std::fs::remove_dir_all(&scratch);
    }
    let code = match verdict {
        Ok(Some(true)) => {
            record.say("RULE BROKEN");
            1
        }
        Ok(Some(false)) => {
            record.say("the rule held");
            0
        }
        Ok(None) | Err(_) => {
            record.say("the case could not run");
            2
        }
    };
    record.flush();
    exit(code);
}
