Feature: evacuations in the operators' records

  Scenario Outline: the operator evacuates zones
    # Guards against evacuations that are missed, kept or lost as records change.
    Given an operator that has published a configuration
    When operators make these changes: <changes>
    Then the evacuated domains are "<domains>" in turn

    Examples:
      | changes                                                               | domains             |
      | writes evacuate/a                                                     | , a                 |
      | writes evacuate/a; deletes evacuate/a                                 | , a,                |
      | writes evacuate/a; writes evacuate/a                                  | , a                 |
      | writes evacuate/a; writes evacuate/b; deletes evacuate/a              | , a, a+b, b         |
      | writes evacuate/a; deletes evacuate/a; writes evacuate/a              | , a, , a            |
      | writes evacuate/a; the store forgets its history                      | , a                 |
      | writes evacuate/a; deletes evacuate/a and the store forgets its history | , a,              |
      | writes evacuate/a; the store fails once                               | , a                 |
      | writes evacuate/a; writes config                                      | , a, a              |
      | writes evacuate/; deletes evacuate/                                   | , (no name),        |
