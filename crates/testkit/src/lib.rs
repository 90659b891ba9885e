//! A macro that gives every test case a name of its own.

pub use rstest::rstest;

/// Turns a list of named cases into one test each, all judged by the same check.
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
