Feature: Kernel
  Registry of plug-ins, and bounded mailboxes.

  Scenario: The error for an unknown plug-in lists the registered names
    Given a registry of "policy" with plug-ins "blind, random"
    When the plug-in "bind" is looked up
    Then the error says "policy 'bind'; known: blind, random"

  Scenario: A full mailbox rejects a message and keeps those queued
    Given a mailbox for 2 messages
    When 3 messages are posted
    Then the outcomes are "Posted, Posted, MailboxFull"
    And the mailbox holds 2 messages in order
