"""The embedding example of the README runs as it is printed."""

import re
from pathlib import Path

README = Path(__file__).parent.parent / "README.md"


def test_the_embedding_example_runs() -> None:
    blocks = re.findall(r"```python\n(.*?)```", README.read_text(), re.S)
    assert blocks
    for block in blocks:
        exec(compile(block, "README.md", "exec"), {})
