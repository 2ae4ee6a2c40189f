//! The table of a sweep.

use samphirespread_bench::growth::{Growth, GrowthError};

const PRINTED: &str = "\
day                  own/srv  score  worth served
sweep-30              31/301   0.88  0.883  0.990

middle / busiest or longest, by own machines
                                        30             100             300  power  at 509
gateway: processor %              4.1 / 6.8      9.3 / 10.5     60.8 / 71.3   1.01  122
config acked, ms                56.0 / 58.0       108 / 110       262 / 262   0.65  370
power: the busiest grows as machines to this power
";

#[test]
fn the_busiest_of_each_size_is_read() {
    let growth = Growth::parse(PRINTED).unwrap();

    assert_eq!(growth.machines, [30, 100, 300]);
    assert_eq!(growth.rows.len(), 2);
    assert_eq!(growth.rows[0].what, "gateway: processor %");
    assert_eq!(growth.rows[0].busiest, [6.8, 10.5, 71.3]);
    assert_eq!(growth.rows[1].what, "config acked, ms");
}

#[test]
fn a_text_without_the_table_is_refused() {
    assert!(matches!(Growth::parse("nothing"), Err(GrowthError::NoSizes)));
    let header = "  30  100  power  at 509\n";
    assert!(matches!(Growth::parse(header), Err(GrowthError::NoRows { sizes: 2 })));
}
