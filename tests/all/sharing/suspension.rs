//! Detection of suspensions of the machine.

use std::time::{Duration, Instant};

use cactustrack_fleet::suspension::SuspensionDetector;

/// Guards against a suspension that is not detected or counted twice, and against a delay between the
/// reads of the two clocks that passes for one.
#[test]
fn the_clocks_show_for_how_long_the_machine_was_suspended() {
    struct Read {
        /// Time since the start of the detector on the clock of the process, in milliseconds.
        process_ms: u64,
        /// The same on the clock that goes on during suspensions.
        boot_ms: u64,
        gap_ms: Option<u64>,
    }
    let read = |process_ms, boot_ms, gap_ms| Read { process_ms, boot_ms, gap_ms };
    let reads = [
        read(1_000, 1_000, None),
        // The process stood still for 900 ms after the first of the two reads.
        read(2_900, 2_000, None),
        read(3_000, 3_000, None),
        read(4_000, 9_000, Some(5_000)),
        read(5_000, 10_000, None),
        read(6_000, 11_020, None),
        read(7_000, 13_000, Some(1_000)),
    ];
    let (start, boot) = (Instant::now(), Duration::from_secs(1_000));
    let mut detector = SuspensionDetector::new(start, boot);
    for Read { process_ms, boot_ms, gap_ms } in reads {
        let now = start + Duration::from_millis(process_ms);
        let gap = detector.take_gap(now, boot + Duration::from_millis(boot_ms));
        assert_eq!(gap, gap_ms.map(Duration::from_millis), "at {process_ms} ms");
    }
}
