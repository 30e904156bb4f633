"""Compare ways of anti-entropy from the command line."""

from ..capacity.reconciliation import compare


class AntiEntropyCommand:
    """Print the bytes and time of each way of finding differing facts."""

    name = "anti-entropy"

    def __call__(self, seed: int = 1) -> None:
        """Measure and print a table; a changed fact differs on both sides."""
        print("| facts | changed | way | bytes | ms | upkeep us | found |")
        print("| ---: | ---: | --- | ---: | ---: | ---: | ---: |")
        for each in compare(seed):
            print(
                f"| {each.set_size} | {each.changed} | {each.way} "
                f"| {each.size_bytes:,} | {each.milliseconds} "
                f"| {each.upkeep_microseconds} "
                f"| {each.found_share:.1%} |"
            )
