//! Tests that a panic of a task is reported, and nothing else.

use {
    dotterelshore_testkit::named_cases,
    dotterelshore_wire::panic_guard::PanicGuard,
    std::{
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
        },
        time::Duration,
    },
};

/// How a guarded task ends.
#[derive(Debug, Clone, Copy, PartialEq)]
enum TaskEnd {
    Return,
    Panic,
    Abort,
}

fn end_is_reported(end: TaskEnd, reported: bool) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    let is_reported = Arc::new(AtomicBool::new(false));
    let flag = Arc::clone(&is_reported);
    runtime.block_on(async move {
        let guard = PanicGuard::new(move || flag.store(true, Ordering::Relaxed));
        let task = tokio::spawn(guard.watch(async move {
            tokio::time::sleep(Duration::from_millis(1)).await;
            match end {
                TaskEnd::Return => {}
                TaskEnd::Panic => panic!("for the test"),
                TaskEnd::Abort => std::future::pending().await,
            }
        }));
        if end == TaskEnd::Abort {
            tokio::time::sleep(Duration::from_millis(5)).await;
            task.abort();
        }
        assert_eq!(task.await.is_err(), end != TaskEnd::Return);
    });
    assert_eq!(is_reported.load(Ordering::Relaxed), reported);
}

named_cases! { end_is_reported:
    return_is_not_reported(TaskEnd::Return, false);
    panic_is_reported(TaskEnd::Panic, true);
    abort_is_not_reported(TaskEnd::Abort, false);
}
