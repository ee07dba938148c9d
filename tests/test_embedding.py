"""The examples on the page about embedding."""

import re
from pathlib import Path

import pytest

import cuminstack
from cuminstack._public import find_public

PAGE = Path(__file__).parents[1] / 'docs' / 'EMBEDDING.md'
EXAMPLES = re.findall(r'```python\n(.*?)```', PAGE.read_text(), re.DOTALL)


class TestExamples:
    """Each runs by itself, and its assertions hold."""

    def test_there_are_three(self) -> None:
        assert len(EXAMPLES) == 3

    @pytest.mark.parametrize('example', EXAMPLES)
    def test_example(self, example: str) -> None:
        code = compile(example, str(PAGE), 'exec')  # noqa: WPS421
        exec(code, {})  # noqa: WPS421


class TestPublicFace:
    """What the package shows is there, and documented."""

    @pytest.mark.parametrize('name', cuminstack.__all__)
    def test_has_a_docstring(self, name: str) -> None:
        assert getattr(cuminstack, name).__doc__

    def test_type_checkers_know_the_same_names(self) -> None:
        stub = Path(cuminstack.__file__).with_suffix('.pyi').read_text()
        listed = re.findall(r"^    '(\w+)',$", stub, re.MULTILINE)
        assert listed == sorted(cuminstack.__all__)

    def test_unknown_name(self) -> None:
        with pytest.raises(AttributeError, match='Nothing'):
            find_public('Nothing')
