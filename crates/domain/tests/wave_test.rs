//! Tests of the order in which a wave takes instances out of service.

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
        name: InstanceName::try_from(format!("i{number}")).expect("a valid name"),
        kind: TargetKind::Worker,
        pool: PoolName::try_from("p").expect("a valid name"),
        centre: CentreName::try_from("c").expect("a valid name"),
        rack: RackName::try_from(format!("r{}", number / 4)).expect("a valid name"),
        address: String::new(),
        state: ServiceState::InService,
        boot_count_at_stop: 0,
        maintained: 0,
    }
}

/// Plans over eight ready instances in two racks of four.
fn check_next_instances(order: WaveOrder, buffer: u32, out: u32, max_out: u32, expected: &[&str]) {
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

named_cases! { check_next_instances:
    rack_together_takes_a_complete_rack(WaveOrder::RackTogether, 0, 0, 4, &["i0", "i1", "i2", "i3"]);
    rack_together_stays_within_the_budget(WaveOrder::RackTogether, 0, 1, 3, &["i0", "i1"]);
    rack_spread_alternates_between_racks(WaveOrder::RackSpread, 0, 0, 3, &["i0", "i4", "i1"]);
    one_at_a_time_takes_a_single_instance(WaveOrder::OneAtATime, 0, 0, 4, &["i0"]);
    one_at_a_time_waits_while_an_instance_is_out(WaveOrder::OneAtATime, 0, 1, 4, &[]);
    plan_keeps_the_buffer_in_reserve(WaveOrder::RackTogether, 2, 0, 4, &["i0", "i1"]);
    buffer_of_budget_size_still_allows_one_instance(WaveOrder::RackTogether, 4, 0, 4, &["i0"]);
    plan_takes_nothing_when_the_budget_is_exceeded(WaveOrder::RackTogether, 0, 5, 4, &[]);
    plan_takes_nothing_with_a_budget_of_zero(WaveOrder::RackTogether, 0, 0, 0, &[]);
}
