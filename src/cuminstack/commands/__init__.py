"""What operators change: the sheet, submitted whole."""

from cuminstack.commands._submit import SheetOutcome, SheetReply, submit_sheet

__all__ = ('SheetOutcome', 'SheetReply', 'submit_sheet')
