//! Messages survive the codec, and cut or foreign bytes are refused.

use proptest::{prelude::*, test_runner::Config};
use samphirespread_wire::{
    WireError,
    codec::{self, LENGTH_BYTES},
    message::{Frame, Output, Reply},
};

const SEED: u64 = 11;

fn fixed_seed() -> Config {
    Config {
        rng_seed: proptest::test_runner::RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..Config::default()
    }
}

proptest! {
    #![proptest_config(fixed_seed())]

    #[test]
    fn output_survives(seq: u64, line: u64, text: String, tokens: u32) {
        let reply = Reply::Output(Output { seq: line, text, tokens });

        let frame = codec::encode(seq, &reply).unwrap();
        let decoded: Frame<Reply> = codec::decode(&frame[LENGTH_BYTES..]).unwrap();

        prop_assert_eq!(decoded, Frame { seq, message: reply });
    }

    #[test]
    fn cut_frames_are_refused(text in ".{1,40}", cut in 1_usize..8) {
        let reply = Reply::Output(Output { seq: 1, text, tokens: 1 });

        let frame = codec::encode(0, &reply).unwrap();
        let end = frame.len().saturating_sub(cut).max(LENGTH_BYTES);
        let decoded: Result<Frame<Reply>, WireError> = codec::decode(&frame[LENGTH_BYTES..end]);

        prop_assert!(decoded.is_err());
    }

    #[test]
    fn foreign_bytes_never_panic(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        // Whether the bytes happen to be a message does not matter here.
        let _: Result<Frame<Reply>, WireError> = codec::decode(&bytes);
    }
}
