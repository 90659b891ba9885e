//! Tests of the peer codec: round trips, rejection of damaged messages, arbitrary input.

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
        name: EntryName::try_from("e0").expect("a valid name"),
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
            pool: PoolName::try_from("p").expect("a valid name"),
            wanted: true,
            teams: teams
                .into_iter()
                .map(|(team, demand)| PoolDemand {
                    team: TeamName::try_from(team).expect("a valid name"),
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
    fn datagram_round_trips(datagram in datagrams()) {
        let bytes = encode_datagram(&datagram).expect("an encoded datagram");
        prop_assert_eq!(decode_datagram(&bytes, datagram.cluster).expect("a valid datagram"), datagram);
    }

    #[test]
    fn datagram_of_another_deployment_is_rejected(datagram in datagrams()) {
        let bytes = encode_datagram(&datagram).expect("an encoded datagram");
        prop_assert!(decode_datagram(&bytes, datagram.cluster.wrapping_add(1)).is_err());
    }

    #[test]
    fn datagram_with_a_flipped_bit_is_rejected(datagram in datagrams(), index in any::<prop::sample::Index>(), bit in 0..8_u8) {
        let mut bytes = encode_datagram(&datagram).expect("an encoded datagram");
        let index = index.index(bytes.len());
        bytes[index] ^= 1 << bit;
        prop_assert!(decode_datagram(&bytes, datagram.cluster).is_err());
    }

    #[test]
    fn truncated_datagram_is_rejected(datagram in datagrams(), length in any::<prop::sample::Index>()) {
        let bytes = encode_datagram(&datagram).expect("an encoded datagram");
        prop_assert!(decode_datagram(&bytes[..length.index(bytes.len())], datagram.cluster).is_err());
    }

    #[test]
    fn arbitrary_bytes_do_not_panic_the_decoders(bytes in prop::collection::vec(any::<u8>(), 0..DATAGRAM_BYTES_MAX)) {
        let _result = decode_datagram(&bytes, 1);
        let _result = decode_message::<PeerCall>(&bytes);
        let _result = decode_message::<PeerReply>(&bytes);
    }
}

#[test]
fn frame_round_trips_and_damaged_frames_are_rejected() {
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
            .expect("a written frame");
        let decoded: PeerReply = read_frame(&mut &*bytes).await.expect("a valid frame");
        assert_eq!(decoded, reply);
        let truncated: Result<PeerReply, _> = read_frame(&mut &bytes[..bytes.len() - 1]).await;
        assert!(truncated.is_err());
        let oversized: Result<PeerReply, _> = read_frame(&mut &[0xff_u8; 64][..]).await;
        assert!(oversized.is_err());
    });
}
