//! A macro that generates one named test per case.

pub use rstest::rstest;

/// Generates a test for each named case; all cases call the same check function.
///
/// ```
/// use dotterelshore_testkit::named_cases;
///
/// fn doubles(input: u32, expected: u32) {
///     assert_eq!(input * 2, expected);
/// }
///
/// named_cases! { doubles:
///     zero_stays_zero(0, 0);
///     three_becomes_six(3, 6);
/// }
/// ```
#[macro_export]
macro_rules! named_cases {
    ($check:ident: $($name:ident($($arg:expr),* $(,)?);)+) => {
        $(
            #[$crate::rstest]
            fn $name() {
                $check($($arg),*);
            }
        )+
    };
}
