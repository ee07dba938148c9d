"""Operator commands, which change the deployment: submitting a sheet."""

from cuminstack.commands._submit import SheetOutcome, SheetReply, submit_sheet

__all__ = ('SheetOutcome', 'SheetReply', 'submit_sheet')
