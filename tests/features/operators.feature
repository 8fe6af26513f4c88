Feature: Operators change the configuration

  Scenario: Two operators submit documents based on the same revision
    Given the current document is revision 1
    When two operators apply different documents based on revision 1
    Then one gets the status "done" and the other "conflict"
    And the refused operator is shown revision 2 with the accepted document
    And 2 revisions are in the history

  Scenario: All faults of a document are reported
    Given the current document is revision 1
    When an operator applies a document with a bad port, a duplicate name and no kind
    Then the operator gets the status "invalid"
    And the faults are at services[0].port, services[1].name, services[1].kind
    And 1 revisions are in the history

  Scenario: A resend after a lost answer
    Given the current document is revision 1
    When an operator applies a document and the answer is lost
    Then the operator gets the status "unknown"
    And the operator is advised to resend with the request identifier
    When the operator resends with the same request identifier
    Then the operator gets the status "done"
    And 2 revisions are in the history

  Scenario: A data centre is taken out and brought back
    Given the current document is revision 1
    When an operator runs take-out dc-2
    Then the operator gets the status "done"
    And data centre dc-2 is out of service
    When an operator runs take-out dc-2
    Then the operator gets the status "done"
    And 2 revisions are in the history
    When an operator runs bring-back dc-2
    Then the operator gets the status "done"
    And data centre dc-2 is in service

  Scenario: A conflict about another data centre does not prevent a take-out
    Given the current document is revision 1
    When data centre dc-1 changes while an operator takes dc-2 out
    Then the operator gets the status "done"
    And data centre dc-2 is out of service
    And data centre dc-1 is out of service

  Scenario: A conflict about the same data centre is reported
    Given the current document is revision 1
    When data centre dc-2 changes while an operator takes dc-2 out
    Then the operator gets the status "conflict"
    And 2 revisions are in the history

  Scenario: The last data centre can't be taken out
    Given the current document is revision 1
    When an operator runs take-out dc-1
    And an operator runs take-out dc-2
    And an operator runs take-out dc-3
    Then the operator gets the status "invalid"
    And data centre dc-3 is in service
