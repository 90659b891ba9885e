//! Decoders take any bytes without harm, and what was encoded comes back.

use {
    dotterelshore_domain::{
        names::{EntryName, EntryStamp, PoolName, TeamName},
        table::FleetTable,
    },
    dotterelshore_wire::{
        peer_codec::{
            DATAGRAM_BYTES_MAX, decode_datagram, decode_message, encode_datagram, read_frame,
            write_frame,
        },
        peer_message::{PeerCall, PeerDatagram, PeerNotice, PeerReply, PoolDemand},
    },
    proptest::{
        prelude::*,
        test_runner::{Config, RngSeed},
    },
};

fn stamp() -> EntryStamp {
    EntryStamp {
        name: EntryName::try_from("e0").expect("a name"),
        incarnation: 7,
    }
}

fn datagrams() -> impl Strategy<Value = PeerDatagram> {
    let heartbeat = (any::<u64>(), any::<u64>(), any::<bool>()).prop_map(
        |(table_revision, confirmed_age_ms, leaving)| PeerNotice::Heartbeat {
            table_revision,
            confirmed_age_ms,
            leaving,
            front: ([127, 0, 0, 1], 4000).into(),
        },
    );
    let demand = prop::collection::vec(("[a-z]{1,12}", any::<u32>()), 0..20).prop_map(|teams| {
        PeerNotice::Demand {
            pool: PoolName::try_from("p").expect("a name"),
            wanted: true,
            teams: teams
                .into_iter()
                .map(|(team, demand)| PoolDemand {
                    team: TeamName::try_from(team).expect("a name"),
                    demand,
                    idle: 3,
                })
                .collect(),
        }
    });
    let notice = prop_oneof![heartbeat, demand];
    (any::<u32>(), notice).prop_map(|(cluster, notice)| PeerDatagram {
        cluster,
        from: stamp(),
        notice,
    })
}

proptest! {
    #![proptest_config(Config { cases: 1000, rng_seed: RngSeed::Fixed(31), failure_persistence: None, ..Config::default() })]

    #[test]
    fn a_datagram_comes_back(datagram in datagrams()) {
        let bytes = encode_datagram(&datagram).expect("it fits");
        prop_assert_eq!(decode_datagram(&bytes, datagram.cluster).expect("it is ours"), datagram);
    }

    #[test]
    fn a_datagram_of_another_deployment_is_refused(datagram in datagrams()) {
        let bytes = encode_datagram(&datagram).expect("it fits");
        prop_assert!(decode_datagram(&bytes, datagram.cluster.wrapping_add(1)).is_err());
    }

    #[test]
    fn a_datagram_with_one_bit_turned_is_refused(datagram in datagrams(), place in any::<prop::sample::Index>(), bit in 0..8_u8) {
        let mut bytes = encode_datagram(&datagram).expect("it fits");
        let place = place.index(bytes.len());
        bytes[place] ^= 1 << bit;
        prop_assert!(decode_datagram(&bytes, datagram.cluster).is_err());
    }

    #[test]
    fn a_torn_datagram_is_refused(datagram in datagrams(), kept in any::<prop::sample::Index>()) {
        let bytes = encode_datagram(&datagram).expect("it fits");
        prop_assert!(decode_datagram(&bytes[..kept.index(bytes.len())], datagram.cluster).is_err());
    }

    #[test]
    fn any_bytes_do_no_harm(bytes in prop::collection::vec(any::<u8>(), 0..DATAGRAM_BYTES_MAX)) {
        let _refused = decode_datagram(&bytes, 1);
        let _refused = decode_message::<PeerCall>(&bytes);
        let _refused = decode_message::<PeerReply>(&bytes);
    }
}

#[test]
fn a_frame_comes_back_and_a_torn_one_is_refused() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .build()
        .expect("a runtime");
    runtime.block_on(async {
        let reply = PeerReply::Table(Box::new(FleetTable {
            revision: 9,
            ..FleetTable::default()
        }));
        let mut bytes = Vec::new();
        write_frame(&mut bytes, &reply)
            .await
            .expect("it is written");
        let back: PeerReply = read_frame(&mut &*bytes).await.expect("it is read");
        assert_eq!(back, reply);
        let torn: Result<PeerReply, _> = read_frame(&mut &bytes[..bytes.len() - 1]).await;
        assert!(torn.is_err());
        let huge: Result<PeerReply, _> = read_frame(&mut &[0xff_u8; 64][..]).await;
        assert!(huge.is_err());
    });
}
