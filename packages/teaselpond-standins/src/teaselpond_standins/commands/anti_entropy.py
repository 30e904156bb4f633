"""Compare strategies of anti-entropy from the command line."""

from ..capacity.reconciliation import compare


class AntiEntropyCommand:
    """Print the bytes and time of each strategy to find differing facts."""

    name = "anti-entropy"

    def __call__(self, seed: int = 1) -> None:
        """Measure each strategy and print a table.

        A changed fact has a different fingerprint on each side.
        """
        print("| facts | changed | way | bytes | ms | upkeep us | found |")
        print("| ---: | ---: | --- | ---: | ---: | ---: | ---: |")
        for each in compare(seed):
            print(
                f"| {each.set_size} | {each.changed} | {each.strategy} "
                f"| {each.size_bytes:,} | {each.milliseconds} "
                f"| {each.upkeep_microseconds} "
                f"| {each.found_share:.1%} |"
            )
