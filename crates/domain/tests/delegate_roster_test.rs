//! Tests of the assignment of workers to the entries that carry the owner's calls to them.

use {
    dotterelshore_domain::{
        names::{CentreName, EntryName, WorkerName},
        schedule::{DelegateRoster, EntryResources},
    },
    dotterelshore_testkit::named_cases,
    std::collections::BTreeMap,
};

/// Time of the first assignment, in milliseconds.
const NOW_MS: u64 = 50_000;
/// Cores of an entry that carries the calls to 50 workers.
const CORES_FOR_50: f64 = 0.334;
/// A time by which every pause after a failure is over, in milliseconds.
const LATER_MS: u64 = NOW_MS + 200_000;

fn centre(text: &str) -> CentreName {
    CentreName::try_from(text).expect("a name")
}

fn entry_name(text: &str) -> EntryName {
    EntryName::try_from(text).expect("a name")
}

fn worker_name(number: usize) -> WorkerName {
    WorkerName::try_from(format!("w-{number}")).expect("a name")
}

fn entry(name: &str, place: &str, cores: f64, link_mbps: f64) -> EntryResources {
    EntryResources {
        name: entry_name(name),
        centre: centre(place),
        cores,
        link_mbps,
    }
}

/// Workers that are spread over these data centres in turn.
fn fleet(workers: usize, places: &[&str]) -> Vec<(WorkerName, CentreName)> {
    let places = places.iter().cycle().take(workers);
    let numbered = (0..workers).zip(places);
    numbered
        .map(|(number, place)| (worker_name(number), centre(place)))
        .collect()
}

/// The number of workers of each delegate.
fn shares(roster: &DelegateRoster, workers: usize) -> BTreeMap<String, usize> {
    let mut shares = BTreeMap::new();
    for number in 0..workers {
        let delegate = roster.delegate_of(&worker_name(number));
        let delegate = delegate.map_or("owner", EntryName::as_str);
        *shares.entry(delegate.to_owned()).or_default() += 1;
    }
    shares
}

/// An owner of this size calls so many workers of a fleet itself, beside large entries.
fn owner_calls(cores: f64, workers: usize, direct: usize) {
    let mut roster = DelegateRoster::new(cores);
    for number in 0..20 {
        roster.upsert_entry(entry(&format!("e{number}"), "north", 1.0, 1_000.0));
    }
    roster.assign(&fleet(workers, &["north"]), NOW_MS);
    let own = shares(&roster, workers).remove("owner").unwrap_or_default();
    assert_eq!(own, direct);
}

named_cases! { owner_calls:
    owner_calls_all_workers_of_a_small_fleet(0.25, 49, 49);
    owner_calls_some_workers_of_a_fleet_above_its_size(0.25, 60, 40);
    owner_calls_no_worker_of_a_large_fleet(0.5, 1_100, 0);
    owner_without_cores_calls_no_worker(0.0, 9, 0);
}

/// An entry gets no more workers than its processor and link carry, and the owner the rest.
fn entry_is_given(cores: f64, link_mbps: f64, given: usize) {
    let mut roster = DelegateRoster::new(0.5);
    roster.upsert_entry(entry("e1", "north", cores, link_mbps));
    roster.assign(&fleet(1_000, &["north"]), NOW_MS);
    let shares = shares(&roster, 1_000);
    assert_eq!(shares.get("e1").copied().unwrap_or_default(), given);
    assert_eq!(shares["owner"], 1_000 - given);
}

named_cases! { entry_is_given:
    entry_is_given_what_its_processor_carries(0.12, 200.0, 18);
    entry_is_given_what_its_link_carries(0.5, 10.0, 40);
    entry_of_an_earlier_version_is_given_nothing(0.0, 0.0, 0);
    entry_with_invalid_resources_is_given_nothing(f64::NAN, -1.0, 0);
}

#[test]
fn workers_are_carried_within_their_data_centre() {
    let mut roster = DelegateRoster::new(0.1);
    for place in ["north", "south"] {
        for number in 0..4 {
            roster.upsert_entry(entry(
                &format!("{place}-{number}"),
                place,
                CORES_FOR_50,
                200.0,
            ));
        }
    }
    let fleet = fleet(120, &["north", "south"]);
    roster.assign(&fleet, NOW_MS);
    for (worker, place) in &fleet {
        let delegate = roster.delegate_of(worker).expect("a delegate");
        assert!(delegate.as_str().starts_with(place.as_str()), "{delegate}");
    }
    assert_eq!(roster.delegates_in_use().count(), 4, "two for each of 60");
}

/// What happens to a delegate before the next assignment.
type DelegateChange = fn(&mut DelegateRoster);

/// After a change, so many workers of two delegates keep theirs.
fn workers_kept(change: DelegateChange, now_ms: u64, kept: usize) {
    let mut roster = DelegateRoster::new(0.0);
    for name in ["e1", "e2", "e3"] {
        roster.upsert_entry(entry(name, "north", CORES_FOR_50, 200.0));
    }
    let fleet = fleet(100, &["north"]);
    roster.assign(&fleet, NOW_MS);
    let delegates = |roster: &DelegateRoster| -> Vec<_> {
        let names = fleet
            .iter()
            .map(|(name, _)| roster.delegate_of(name).cloned());
        names.collect()
    };
    let before = delegates(&roster);
    change(&mut roster);
    roster.assign(&fleet, now_ms);
    let after = delegates(&roster);
    let same = before
        .iter()
        .zip(&after)
        .filter(|(before, after)| before == after);
    assert_eq!(same.count(), kept);
    assert!(
        after.iter().all(Option::is_some),
        "{:?}",
        shares(&roster, 100)
    );
}

named_cases! { workers_kept:
    workers_keep_their_delegate(|_| {}, LATER_MS, 100);
    workers_of_a_failed_delegate_move(|roster| {
        roster.mark_failed(&entry_name("e1"), NOW_MS);
    }, NOW_MS, 50);
    workers_of_a_leaving_delegate_move(|roster| {
        roster.mark_leaving(&entry_name("e1"));
    }, LATER_MS, 50);
    workers_of_a_removed_entry_move(|roster| {
        roster.remove_entry(&entry_name("e1"));
    }, LATER_MS, 50);
}

/// An entry after these calls is used again, or not, at a time.
fn delegate_is_used(change: DelegateChange, now_ms: u64, is_used: bool) {
    let mut roster = DelegateRoster::new(0.0);
    roster.upsert_entry(entry("e1", "north", CORES_FOR_50, 200.0));
    change(&mut roster);
    roster.assign(&fleet(1, &["north"]), now_ms);
    assert_eq!(roster.delegate_of(&worker_name(0)).is_some(), is_used);
}

fn fail_thrice(roster: &mut DelegateRoster) {
    for _ in 0..3 {
        roster.mark_failed(&entry_name("e1"), NOW_MS);
    }
}

named_cases! { delegate_is_used:
    failed_delegate_pauses(|roster| roster.mark_failed(&entry_name("e1"), NOW_MS),
        NOW_MS + 2_900, false);
    failed_delegate_is_tried_again(|roster| roster.mark_failed(&entry_name("e1"), NOW_MS),
        NOW_MS + 3_000, true);
    delegate_that_fails_again_pauses_longer(fail_thrice, NOW_MS + 11_900, false);
    delegate_that_failed_often_is_tried_again(fail_thrice, NOW_MS + 12_000, true);
    delegate_that_answered_since_pauses_briefly(|roster| {
        fail_thrice(roster);
        roster.mark_answering(&entry_name("e1"));
        roster.mark_failed(&entry_name("e1"), NOW_MS);
    }, NOW_MS + 3_000, true);
    leaving_delegate_is_not_used(|roster| roster.mark_leaving(&entry_name("e1")), LATER_MS, false);
    restarted_delegate_is_used_at_once(|roster| {
        roster.mark_leaving(&entry_name("e1"));
        roster.upsert_entry(entry("e1", "north", CORES_FOR_50, 200.0));
    }, NOW_MS, true);
}

#[test]
fn entries_of_a_data_centre_that_may_be_cut_off_are_not_tried_in_turn() {
    let mut roster = DelegateRoster::new(0.0);
    for number in 0..10 {
        roster.upsert_entry(entry(&format!("n{number}"), "north", CORES_FOR_50, 200.0));
    }
    roster.upsert_entry(entry("s1", "south", CORES_FOR_50, 200.0));
    let fleet = fleet(20, &["north"]);
    for attempt in 0..2 {
        roster.assign(&fleet, NOW_MS + attempt);
        let delegate = roster.delegate_of(&worker_name(0)).cloned();
        let delegate = delegate.expect("a delegate");
        assert!(delegate.as_str().starts_with('n'), "{delegate}");
        roster.mark_failed(&delegate, NOW_MS + attempt);
    }
    roster.assign(&fleet, NOW_MS + 2);
    assert_eq!(shares(&roster, 20), BTreeMap::from([("s1".to_owned(), 20)]));
}
