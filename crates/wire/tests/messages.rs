//! Tests that messages are unchanged by encoding and decoding, and that truncated frames are
//! rejected and arbitrary bytes cause no panic.

use proptest::{prelude::*, test_runner::Config};
use samphirespread_wire::{
    WireError,
    codec::{self, LENGTH_BYTES},
    message::{Frame, Output, Reply},
};

const SEED: u64 = 11;

fn config_with_fixed_seed() -> Config {
    Config {
        rng_seed: proptest::test_runner::RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..Config::default()
    }
}

proptest! {
    #![proptest_config(config_with_fixed_seed())]

    #[test]
    fn decodes_an_encoded_output(seq: u64, line: u64, text: String, tokens: u32) {
        let reply = Reply::Output(Output { seq: line, text, tokens });

        let frame = codec::encode(seq, &reply).unwrap();
        let decoded: Frame<Reply> = codec::decode(&frame[LENGTH_BYTES..]).unwrap();

        prop_assert_eq!(decoded, Frame { seq, message: reply });
    }

    #[test]
    fn rejects_truncated_frames(text in ".{1,40}", cut_bytes in 1_usize..8) {
        let reply = Reply::Output(Output { seq: 1, text, tokens: 1 });

        let frame = codec::encode(0, &reply).unwrap();
        let end = frame.len().saturating_sub(cut_bytes).max(LENGTH_BYTES);
        let decoded: Result<Frame<Reply>, WireError> = codec::decode(&frame[LENGTH_BYTES..end]);

        prop_assert!(decoded.is_err());
    }

    #[test]
    fn arbitrary_bytes_never_panic(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        // Arbitrary bytes may happen to be a valid message, so the result isn't checked.
        let _: Result<Frame<Reply>, WireError> = codec::decode(&bytes);
    }
}
