//! Which instances a wave takes out next.

use {
    dotterelshore_domain::{
        fleet::{InstanceRecord, ServiceState},
        names::{CentreName, InstanceName, PoolName, RackName},
        table::TargetKind,
        wave::{WaveOrder, WavePlan, WaveView},
    },
    dotterelshore_testkit::named_cases,
};

fn instance(number: usize) -> InstanceRecord {
    InstanceRecord {
        name: InstanceName::try_from(format!("i{number}")).expect("a name"),
        kind: TargetKind::Worker,
        pool: PoolName::try_from("p").expect("a name"),
        centre: CentreName::try_from("c").expect("a name"),
        rack: RackName::try_from(format!("r{}", number / 4)).expect("a name"),
        address: String::new(),
        state: ServiceState::InService,
        boot_count_at_stop: 0,
        maintained: 0,
    }
}

/// Eight instances, four to a rack, all ready.
fn plans(order: WaveOrder, buffer: u32, out: u32, max_out: u32, expected: &[&str]) {
    let instances: Vec<InstanceRecord> = (0..8).map(instance).collect();
    let view = WaveView {
        ready: instances.iter().collect(),
        out,
        max_out,
    };
    let next = WavePlan { order, buffer }.next(&view);
    let names: Vec<&str> = next.iter().map(InstanceName::as_str).collect();
    assert_eq!(names, expected);
}

named_cases! { plans:
    a_whole_rack_at_once(WaveOrder::RackTogether, 0, 0, 4, &["i0", "i1", "i2", "i3"]);
    as_far_as_the_budget_allows(WaveOrder::RackTogether, 0, 1, 3, &["i0", "i1"]);
    one_of_each_rack_first(WaveOrder::RackSpread, 0, 0, 3, &["i0", "i4", "i1"]);
    one_at_a_time(WaveOrder::OneAtATime, 0, 0, 4, &["i0"]);
    one_at_a_time_waits_for_the_one_out(WaveOrder::OneAtATime, 0, 1, 4, &[]);
    the_buffer_is_left_unused(WaveOrder::RackTogether, 2, 0, 4, &["i0", "i1"]);
    a_buffer_as_large_as_the_budget_lets_one_go(WaveOrder::RackTogether, 4, 0, 4, &["i0"]);
    nothing_beyond_the_budget(WaveOrder::RackTogether, 0, 5, 4, &[]);
    nothing_where_nothing_may_be_out(WaveOrder::RackTogether, 0, 0, 0, &[]);
}
